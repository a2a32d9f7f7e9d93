import type { PoolCall, QueuedCall } from './poolTypes.js';

/** Number of consumed entries at the front of the array that triggers its compaction. */
const compactThreshold = 256;

/** FIFO queue of the calls of one kind. Entries that no longer wait are skipped lazily. */
export class KindQueue<Call extends PoolCall> {
  private entries: QueuedCall<Call>[] = [];

  private front = 0;

  /** Slot time that the kind may still use in this round. */
  deficitMs = 0;

  constructor(readonly kind: string) {}

  /** Appends a call. */
  push(entry: QueuedCall<Call>): void {
    this.entries.push(entry);
  }

  /** Returns a call to the front. */
  unshift(entry: QueuedCall<Call>): void {
    if (this.front > 0) {
      this.front -= 1;
      this.entries[this.front] = entry;
      return;
    }
    this.entries.unshift(entry);
  }

  /** First waiting call. */
  peek(): QueuedCall<Call> | undefined {
    while (this.front < this.entries.length) {
      const entry = this.entries[this.front];
      if (entry?.isWaiting === true) return entry;
      this.front += 1;
    }
    this.compact();
    return undefined;
  }

  /** Removes the first waiting call. */
  shift(): QueuedCall<Call> | undefined {
    const entry = this.peek();
    if (entry === undefined) return undefined;
    this.front += 1;
    if (this.front >= compactThreshold) this.compact();
    return entry;
  }

  private compact(): void {
    this.entries = this.entries.slice(this.front);
    this.front = 0;
  }
}
