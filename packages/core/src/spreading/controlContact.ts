/** Silence that is told while the last contact is not known. */
const maxSilentMs = 24 * 60 * 60 * 1000;

/**
 * Tracks when a host was last in contact with a control group that has a leader. Answers to polls
 * carry the time since that contact, so that a host also detects that its source is cut off.
 */
export class ControlContact {
  /** @param lastContactMs - monotonic time of the start */
  constructor(private lastContactMs: number) {}

  /**
   * Records the last contact that a source reports.
   *
   * @param silentMs - time since the source's last contact; 0 for a member that knows a leader
   * @param nowMs - monotonic time
   */
  heard(silentMs: number, nowMs: number): void {
    this.lastContactMs = Math.max(this.lastContactMs, nowMs - silentMs);
  }

  /** Forgets the last contact, after a break of the clock. */
  forget(): void {
    this.lastContactMs = Number.NEGATIVE_INFINITY;
  }

  /** Time since the last contact, in milliseconds; at most a day. */
  silentMs(nowMs: number): number {
    return Math.min(maxSilentMs, Math.max(0, nowMs - this.lastContactMs));
  }
}
