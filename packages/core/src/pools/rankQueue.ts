import { KindQueue } from './kindQueue.js';
import type { PoolCall, QueuedCall } from './poolTypes.js';

/** Slot time that each kind gets per round. */
const quantumMs = 50;

/** Queue of one rank; its kinds share the slot time by deficit round robin. */
export class RankQueue<Call extends PoolCall> {
  private readonly kinds = new Map<string, KindQueue<Call>>();

  private round: KindQueue<Call>[] = [];

  /** Number of waiting calls. */
  waitingCalls = 0;

  /** Expected slot time of the waiting calls. */
  waitingSlotMs = 0;

  push(entry: QueuedCall<Call>): void {
    const queue = this.queueOf(entry.call.kind);
    if (queue.peek() === undefined) this.activate(queue);
    queue.push(entry);
    this.adjustTotals(entry, 1);
  }

  /** Returns a call that found no suitable slot to the front of its kind, and refunds its cost. */
  putBack(entry: QueuedCall<Call>): void {
    const queue = this.queueOf(entry.call.kind);
    if (queue.peek() === undefined) this.activate(queue);
    queue.unshift(entry);
    queue.deficitMs += entry.costMs;
    this.adjustTotals(entry, 1);
  }

  /** Removes a waiting call at any position. */
  remove(entry: QueuedCall<Call>): void {
    if (!entry.isWaiting) return;
    const removed = entry;
    removed.isWaiting = false;
    this.adjustTotals(entry, -1);
  }

  /** Takes the next call by deficit round robin. */
  shift(): QueuedCall<Call> | undefined {
    if (this.waitingCalls === 0) return undefined;
    for (;;) {
      const queue = this.round[0];
      if (queue === undefined) return undefined;
      const head = queue.peek();
      if (head === undefined) {
        queue.deficitMs = 0;
        this.round.shift();
        continue;
      }
      if (queue.deficitMs < head.costMs && this.round.length > 1) {
        queue.deficitMs += quantumMs;
        this.round.push(...this.round.splice(0, 1));
        continue;
      }
      queue.deficitMs = Math.max(0, queue.deficitMs - head.costMs);
      queue.shift();
      this.adjustTotals(head, -1);
      return head;
    }
  }

  /** Longest-waiting call of each kind. */
  *heads(): Generator<QueuedCall<Call>> {
    for (const queue of this.round) {
      const head = queue.peek();
      if (head !== undefined) yield head;
    }
  }

  /** Time at which the longest-waiting call was queued; infinity if none waits. */
  get waitingSinceMs(): number {
    let sinceMs = Number.POSITIVE_INFINITY;
    for (const head of this.heads()) sinceMs = Math.min(sinceMs, head.enqueuedAtMs);
    return sinceMs;
  }

  private activate(queue: KindQueue<Call>): void {
    if (!this.round.includes(queue)) this.round.push(queue);
  }

  private queueOf(kind: string): KindQueue<Call> {
    const known = this.kinds.get(kind);
    if (known !== undefined) return known;
    const queue = new KindQueue<Call>(kind);
    this.kinds.set(kind, queue);
    return queue;
  }

  private adjustTotals(entry: QueuedCall<Call>, sign: 1 | -1): void {
    this.waitingCalls += sign;
    this.waitingSlotMs = Math.max(0, this.waitingSlotMs + sign * entry.costMs);
  }
}
