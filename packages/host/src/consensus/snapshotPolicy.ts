/** Decides when a replica saves its machine as a snapshot. */

/** A snapshot is taken when the log since the last one is as large as it, and at least this. */
const minSnapshotLogBytes = 64 * 1024;
/** A small state is saved after so many entries at the latest, so that a start replays few. */
const maxEntriesOfSmallState = 256;
const maxSmallSnapshotBytes = 4 * 1024 * 1024;
/** Any state is saved once a start would replay for so long, but not after a few entries only. */
const maxReplayMs = 500;
const minEntriesForReplayLimit = 32;

/** Counts what was applied since the last snapshot. */
export class SnapshotPolicy {
  private logBytes = 0;

  private entries = 0;

  private replayMs = 0;

  private snapshotBytes = 0;

  /** Takes note of an applied entry, the size of its command and the time that it took. */
  recordApplied(commandBytes: number, applyMs: number): void {
    this.entries += 1;
    this.logBytes += commandBytes;
    this.replayMs += applyMs;
  }

  /** Takes note that everything applied so far goes into a snapshot. */
  recordCaptured(): void {
    this.entries = 0;
    this.logBytes = 0;
    this.replayMs = 0;
  }

  /** Takes note of the size of the newest snapshot. */
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
