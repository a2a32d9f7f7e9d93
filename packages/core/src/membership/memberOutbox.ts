import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';

import { TokenBucket } from '../rates/tokenBucket.js';
import { GossipQueue } from './gossipQueue.js';
import { urgentFanout, urgentMessageBurst, urgentMessagesPerS } from './membershipLimits.js';
import type {
  MemberEntry,
  MemberEvent,
  MemberMessage,
  MemberRecord,
  MembershipEffect,
} from './membershipTypes.js';
import { stampOf } from './memberStamp.js';
import type { MemberTable } from './memberTable.js';
import { sample } from './sampling.js';

/** A message without the fields that all messages share. */
type MessageBody = MemberMessage extends infer Message
  ? Message extends MemberMessage
    ? Omit<Message, 'from' | 'to' | 'records' | 'heldOfYou'>
    : never
  : never;

/** Builds messages with piggybacked records and collects the effects of the machine. */
export class MemberOutbox {
  private readonly zoneGossip = new GossipQueue();

  private readonly remoteGossip = new GossipQueue();

  private effects: MembershipEffect[] = [];

  private readonly urgentMessageBudget = new TokenBucket(urgentMessagesPerS, urgentMessageBurst, 0);

  constructor(
    private readonly self: MemberEntry,
    private readonly table: MemberTable,
    private readonly random: () => number,
  ) {}

  /** Takes the effects collected since the last call. */
  takeEffects(): MembershipEffect[] {
    const { effects } = this;
    this.effects = [];
    return effects;
  }

  emitEvent(kind: MemberEvent['kind'], entry: MemberEntry): void {
    const { hostId, availabilityZone } = entry.identity;
    const event = { kind, hostId, availabilityZone, incarnation: entry.incarnation };
    this.effects.push({ effect: 'event', event });
  }

  emitIdentityConflict(incarnation: number): void {
    this.effects.push({ effect: 'identityConflict', incarnation });
  }

  /** Queues the record of a host for piggybacking on later messages. */
  enqueue(entry: MemberEntry, withIdentity: boolean): void {
    this.zoneGossip.add(entry.identity.hostId, withIdentity);
    if (this.table.isSelfRelay()) this.remoteGossip.add(entry.identity.hostId, withIdentity);
  }

  /** Queues a record and sends it to some hosts immediately, within the urgent message limit. */
  disseminate(entry: MemberEntry, withIdentity: boolean, nowMs: number): void {
    this.enqueue(entry, withIdentity);
    const { zonePeers, remoteRelays, relaysByZone } = this.table.views();
    const targets = new Set(sample(zonePeers, urgentFanout, this.random));
    if (this.table.isSelfRelay()) {
      for (const relay of sample(remoteRelays, urgentFanout, this.random)) targets.add(relay);
    } else {
      const relays = relaysByZone.get(this.self.identity.availabilityZone) ?? [];
      for (const relay of sample(relays, 1, this.random)) targets.add(relay);
    }
    if (entry !== this.self) targets.add(entry);
    for (const target of targets) {
      if (!this.urgentMessageBudget.tryConsume(1, nowMs)) return;
      this.send(target, { kind: 'gossip' }, nowMs);
    }
  }

  send(target: MemberEntry, body: MessageBody, nowMs: number): void {
    const { hostId, internal, availabilityZone } = target.identity;
    const isInOwnZone = availabilityZone === this.self.identity.availabilityZone;
    const queue = isInOwnZone ? this.zoneGossip : this.remoteGossip;
    const records = queue
      .takeForMessage(this.table.views().participantCount)
      .flatMap((queued) => this.buildRecord(queued.hostId, queued.withIdentity, nowMs));
    this.emitMessage(internal, hostId, body, records, target);
  }

  /** Sends a message to a host of which only the address may be known. */
  sendToSeed(hostId: string, endpoint: Endpoint, body: MessageBody): void {
    this.emitMessage(endpoint, hostId, body, [], this.table.find(hostId));
  }

  /** Sends a message with the records of the given hosts and no queued ones. */
  sendRecords(
    target: MemberEntry,
    body: MessageBody,
    entries: readonly MemberEntry[],
    nowMs: number,
  ): void {
    const records = entries.flatMap((entry) =>
      this.buildRecord(entry.identity.hostId, true, nowMs),
    );
    this.emitMessage(target.identity.internal, target.identity.hostId, body, records, target);
  }

  private buildRecord(hostId: string, withIdentity: boolean, nowMs: number): MemberRecord[] {
    const entry = this.table.find(hostId);
    if (entry === undefined) return [];
    const record: MemberRecord = {
      ...stampOf(entry),
      ageMs: Math.max(0, Math.round(nowMs - entry.changedAtMs)),
      ...(withIdentity ? { identity: entry.identity } : {}),
    };
    return [record];
  }

  private emitMessage(
    endpoint: Endpoint,
    to: string,
    body: MessageBody,
    records: readonly MemberRecord[],
    target: MemberEntry | undefined,
  ): void {
    const isDoubted =
      target !== undefined && target.state !== 'alive' && target.state !== 'leaving';
    const base = { from: stampOf(this.self), to, records };
    const message = {
      ...body,
      ...base,
      ...(isDoubted ? { heldOfYou: stampOf(target) } : {}),
    } as MemberMessage;
    this.effects.push({ effect: 'send', endpoint, message });
  }
}
