import { maxRecordWeight, recordWithIdentityWeight, retransmitFactor } from './membershipLimits.js';

interface QueuedRecord {
  readonly hostId: string;
  readonly withIdentity: boolean;
  sendCount: number;
}

/** Records to piggyback on outgoing messages, each a bounded number of times. */
export class GossipQueue {
  private readonly queue = new Map<string, QueuedRecord>();

  /** Queues the record of a host; replaces one that is queued already. */
  add(hostId: string, withIdentity: boolean): void {
    const includeIdentity = withIdentity || (this.queue.get(hostId)?.withIdentity ?? false);
    this.queue.delete(hostId);
    this.queue.set(hostId, { hostId, withIdentity: includeIdentity, sendCount: 0 });
  }

  size(): number {
    return this.queue.size;
  }

  /**
   * Takes the records for one message, those sent least often first.
   *
   * @param participantCount - participating hosts; bounds how often a record is sent
   */
  takeForMessage(participantCount: number): { hostId: string; withIdentity: boolean }[] {
    if (this.queue.size === 0) return [];
    const maxSends = Math.ceil(retransmitFactor * Math.log2(participantCount + 1));
    const leastSentFirst = [...this.queue.values()].sort(
      (left, right) => left.sendCount - right.sendCount,
    );
    const taken: QueuedRecord[] = [];
    let weight = 0;
    for (const record of leastSentFirst) {
      weight += record.withIdentity ? recordWithIdentityWeight : 1;
      if (weight > maxRecordWeight) break;
      taken.push(record);
      record.sendCount += 1;
      if (record.sendCount >= maxSends) this.queue.delete(record.hostId);
    }
    return taken;
  }
}
