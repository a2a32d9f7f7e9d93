/** Decides when a replica saves its machine as a snapshot. */

/** A snapshot is taken when the log since the last one is as large as it, and at least this. */
const snapshotEveryBytes = 64 * 1024;
/** A small state is saved after so many entries at the latest, so that a start replays few. */
const snapshotEveryEntries = 256;
const smallSnapshotBytes = 4 * 1024 * 1024;

/** Counts what was applied since the last snapshot. */
export class SnapshotPolicy {
  private logBytes = 0;

  private entries = 0;

  private snapshotBytes = 0;

  /** Takes note of an applied entry and the size of its command. */
  noteApplied(commandBytes: number): void {
    this.entries += 1;
    this.logBytes += commandBytes;
  }

  /** Takes note of a snapshot that covers everything applied so far. */
  noteSnapshot(bytes: number): void {
    this.snapshotBytes = bytes;
    this.entries = 0;
    this.logBytes = 0;
  }

  isDue(): boolean {
    const isSmall = this.snapshotBytes <= smallSnapshotBytes;
    if (isSmall && this.entries >= snapshotEveryEntries) return true;
    return this.logBytes >= Math.max(snapshotEveryBytes, this.snapshotBytes);
  }
}
