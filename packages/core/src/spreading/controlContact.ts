/**
 * When a host was last known to be in contact with a control group that has a leader. The time
 * travels with the answers to polls, so that a host whose source is cut off itself learns of it.
 */
export class ControlContact {
  /** @param lastContactMs - monotonic time of the start */
  constructor(private lastContactMs: number) {}

  /**
   * Notes what a source told.
   *
   * @param silentMs - time since the source was in contact, 0 on a member that knows a leader
   * @param nowMs - monotonic time
   */
  heard(silentMs: number, nowMs: number): void {
    this.lastContactMs = Math.max(this.lastContactMs, nowMs - silentMs);
  }

  /** Time since the last contact, in milliseconds. */
  silentMs(nowMs: number): number {
    return Math.max(0, nowMs - this.lastContactMs);
  }
}
