/** Decides when a replica saves its machine as a snapshot. */

/** A snapshot is due once the log is as large as the last snapshot, and at least this large. */
const minSnapshotLogBytes = 64 * 1024;
/** A small state is saved after this many entries at the latest, so that a start replays few. */
const maxEntriesOfSmallState = 256;
const maxSmallSnapshotBytes = 4 * 1024 * 1024;
/** Any state is saved once its replay would take this long, unless there are only a few entries. */
const maxReplayMs = 500;
const minEntriesForReplayLimit = 32;

/** Tracks what was applied since the last snapshot. */
export class SnapshotPolicy {
  private logBytes = 0;

  private entries = 0;

  private replayMs = 0;

  private snapshotBytes = 0;

  /** Records an applied entry, by the size of its command and the time that it took. */
  recordApplied(commandBytes: number, applyMs: number): void {
    this.entries += 1;
    this.logBytes += commandBytes;
    this.replayMs += applyMs;
  }

  /** Records that a snapshot covers everything applied so far. */
  recordCaptured(): void {
    this.entries = 0;
    this.logBytes = 0;
    this.replayMs = 0;
  }

  /** Records the size of the newest snapshot. */
  recordSnapshotSize(bytes: number): void {
    this.snapshotBytes = bytes;
  }

  isDue(): boolean {
    const isSmall = this.snapshotBytes <= maxSmallSnapshotBytes;
    if (isSmall && this.entries >= maxEntriesOfSmallState) return true;
    if (this.replayMs >= maxReplayMs && this.entries >= minEntriesForReplayLimit) return true;
    return this.logBytes >= Math.max(minSnapshotLogBytes, this.snapshotBytes);
  }
}
