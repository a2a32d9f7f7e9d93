import { identityWeight, maxRecordWeight, retransmitFactor } from './membershipLimits.js';

interface QueuedNews {
  readonly hostId: string;
  readonly withIdentity: boolean;
  sent: number;
}

/** Hosts whose records are to be sent along with other messages, each a bounded number of times. */
export class GossipQueue {
  private readonly queue = new Map<string, QueuedNews>();

  /** Queues the record of a host; an earlier record of the host gives way. */
  add(hostId: string, withIdentity: boolean): void {
    const identityDue = withIdentity || (this.queue.get(hostId)?.withIdentity ?? false);
    this.queue.delete(hostId);
    this.queue.set(hostId, { hostId, withIdentity: identityDue, sent: 0 });
  }

  size(): number {
    return this.queue.size;
  }

  /**
   * Takes the records for one message, those sent least first.
   *
   * @param participants - number of hosts that take part
   */
  take(participants: number): { hostId: string; withIdentity: boolean }[] {
    if (this.queue.size === 0) return [];
    const limit = Math.ceil(retransmitFactor * Math.log2(participants + 1));
    const bySent = [...this.queue.values()].sort((left, right) => left.sent - right.sent);
    const taken: QueuedNews[] = [];
    let weight = 0;
    for (const news of bySent) {
      weight += news.withIdentity ? identityWeight : 1;
      if (weight > maxRecordWeight) break;
      taken.push(news);
      news.sent += 1;
      if (news.sent >= limit) this.queue.delete(news.hostId);
    }
    return taken;
  }
}
