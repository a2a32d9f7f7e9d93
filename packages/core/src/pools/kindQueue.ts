import type { PoolCall, QueuedCall } from './poolTypes.js';

/** Entries dropped from the front of the array at once. */
const compactThreshold = 256;

/** First-in first-out queue of the calls of one kind. Calls that left are skipped lazily. */
export class KindQueue<Call extends PoolCall> {
  private entries: QueuedCall<Call>[] = [];

  private front = 0;

  /** Slot time that the kind may still use in this round. */
  deficitMs = 0;

  constructor(readonly kind: string) {}

  /** Adds a call at the end. */
  push(entry: QueuedCall<Call>): void {
    this.entries.push(entry);
  }

  /** Puts a call back to the front. */
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
