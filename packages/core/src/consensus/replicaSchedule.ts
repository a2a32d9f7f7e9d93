/* eslint no-param-reassign: ['error', { props: false }] */
import type {
  ConsensusEffect,
  ConsensusInput,
  ConsensusMessage,
  ConsensusOptions,
  DurableState,
  LogEntry,
  Members,
  PersistEffect,
  ReplicaId,
} from './consensusTypes.js';
import { entryAt, lastIndexOf, termAt } from './replicaLog.js';
import { createReplica, type ReplicaState } from './replicaState.js';
import { nextTickDueMs } from './nextDue.js';
import { holdsLease } from './commitment.js';
import { step } from './replica.js';
import { hostIdOf } from './membership.js';
import {
  applyPersist,
  assertInvariant,
  encodeHash,
  firstDisk,
  hashOf,
  keyOf,
  seededRandom,
} from './scheduleParts.js';

/** Options of the replicas of a schedule. */
export const scheduleOptions: ConsensusOptions = {
  electionTimeoutMs: 100,
  heartbeatMs: 20,
  maxAppendBytes: 200,
  maxAppendEntries: 4,
  maxInFlightEntries: 12,
  snapshotChunkBytes: 3,
  retainedEntries: 2,
  retainedBytes: 1024,
  maxUncommittedEntries: 64,
  maxUncommittedBytes: 4096,
};

/** A deliberate defect of a replica, applied after each of its steps. */
export type Mutation = (replica: Replica, effects: ConsensusEffect[]) => void;

export interface Replica {
  id: ReplicaId;
  state: ReplicaState;
  disk: DurableState;
  pending: PersistEffect[];
  isDown: boolean;
  pausedUntil: number;
  hash: number;
  committedMembers: Members;
}

interface CommittedEntry {
  readonly term: number;
  readonly key: string;
}

/** Simulates a group of replicas, its network and its disks; the seed decides every action. */
export class Schedule {
  protected readonly random: () => number;

  protected readonly replicas: Replica[] = [];

  protected network: ConsensusMessage[] = [];

  protected nowMs = 0;

  private lossPermille = 0;

  /** Directed links that drop all messages, as `fromHost>toHost`. */
  private readonly cuts = new Set<string>();

  /** Elected replica of each term. */
  private readonly leaders = new Map<number, ReplicaId>();

  /** Term of the previous entry and content of each entry, by `index/term`. */
  private readonly seenEntries = new Map<string, string>();

  protected readonly committed: CommittedEntry[] = [{ term: 0, key: 'start' }];

  /** Hash of the applied entries up to each index. */
  private readonly hashes: number[] = [0];

  /** Commit index at the start of each read. */
  private readonly minReadIndexes = new Map<number, number>();

  protected emptiedReplicaId: string | undefined;

  private nextId = 1;

  commits = 0;

  constructor(
    seed: number,
    private readonly mutation?: Mutation,
    protected readonly options: ConsensusOptions = scheduleOptions,
  ) {
    this.random = seededRandom(seed);
    const hosts = this.randomBelow(3) === 0 ? ['a', 'b', 'c', 'd', 'e'] : ['a', 'b', 'c'];
    const members: Members = { voters: hosts.map((host) => `${host}/1`), learners: [] };
    for (const id of members.voters) this.replicas.push(this.startReplica(id, firstDisk(members)));
    this.lossPermille = [0, 20, 100][this.randomBelow(3)] ?? 0;
  }

  protected randomBelow(bound: number): number {
    return Math.floor(this.random() * bound);
  }

  protected startReplica(id: ReplicaId, disk: DurableState): Replica {
    const state = createReplica(id, disk, this.options, this.clockOf({ id }));
    const hash = this.hashes[disk.snapshot.index] ?? 0;
    const committedMembers = disk.snapshot.members;
    return { id, state, disk, pending: [], isDown: false, pausedUntil: 0, hash, committedMembers };
  }

  run(steps: number): void {
    for (let count = 0; count < steps; count += 1) this.runRandomAction();
  }

  /** Ends all faults and requires new commands to be committed. */
  heal(): void {
    this.lossPermille = 0;
    this.cuts.clear();
    for (const [index, replica] of this.replicas.entries()) {
      if (replica.isDown) this.replicas[index] = this.startReplica(replica.id, replica.disk);
    }
    for (const replica of this.replicas) replica.pausedUntil = 0;
    const before = this.commits;
    for (let round = 0; round < 400 && this.commits < before + 3; round += 1) {
      this.runFaultlessRound(round);
    }
    assertInvariant(
      this.commits >= before + 3,
      'no new commands are committed after the faults ended',
    );
  }

  /** Ticks and syncs all replicas and delivers all messages. */
  protected runFaultlessRound(round: number): void {
    this.nowMs += 5;
    for (const replica of this.replicas) this.stepReplica(replica, { kind: 'tick' });
    for (const replica of this.replicas) this.sync(replica, replica.pending.length);
    const messages = this.network;
    this.network = [];
    for (const message of messages) this.receive(message);
    if (round % 20 === 0) this.propose();
    if (round % 20 === 10) this.addEmptiedReplica();
  }

  protected runRandomAction(): void {
    const choice = this.randomBelow(1000);
    if (choice < 500) this.advanceTime();
    else if (choice < 700) this.deliver();
    else if (choice < 840) this.propose();
    else if (choice < 930) this.read();
    else if (choice < 937) this.crash(this.randomReplica());
    else if (choice < 957) this.restart(this.randomReplica());
    else if (choice < 962) this.randomReplica().pausedUntil = this.nowMs + this.randomBelow(300);
    else if (choice < 972) this.cutOrRestoreLinks();
    else if (choice < 985) this.compact(this.randomReplica());
    else if (choice < 988) this.stepReplica(this.randomReplica(), { kind: 'handOver' });
    else if (choice < 990) this.emptyDisk(this.randomReplica());
    else this.addEmptiedReplica();
  }

  /** Advances the clock, ticks some replicas, syncs some disks and delivers messages in flight. */
  private advanceTime(): void {
    this.nowMs += this.randomBelow(20);
    for (const replica of this.replicas) {
      if (this.randomBelow(4) > 0) this.stepReplica(replica, { kind: 'tick' });
    }
    for (const replica of this.replicas) if (this.randomBelow(4) > 0) this.syncSome(replica);
    const count = this.randomBelow(this.network.length * 2);
    for (let done = 0; done < count; done += 1) this.deliver();
    for (const replica of this.replicas) if (this.randomBelow(4) > 0) this.syncSome(replica);
  }

  protected randomReplica(): Replica {
    return this.replicas[this.randomBelow(this.replicas.length)] as Replica;
  }

  protected findLeader(): Replica | undefined {
    return this.replicas.find((one) => !one.isDown && one.state.role === 'leader');
  }

  private deliver(): void {
    if (this.network.length === 0) return;
    const at = this.randomBelow(4) > 0 ? 0 : this.randomBelow(this.network.length);
    const message = this.network[at] as ConsensusMessage;
    const isDuplicated = this.randomBelow(1000) < this.lossPermille;
    if (!isDuplicated) this.network.splice(at, 1);
    const isCut = this.cuts.has(`${hostIdOf(message.from)}>${hostIdOf(message.to)}`);
    if (!isCut && this.randomBelow(1000) >= this.lossPermille) this.receive(message);
  }

  /** Cuts one or both directions between two hosts, or restores all links. */
  private cutOrRestoreLinks(): void {
    if (this.randomBelow(3) === 0) {
      this.cuts.clear();
      return;
    }
    const left = hostIdOf(this.randomReplica().id);
    const right = hostIdOf(this.randomReplica().id);
    this.cuts.add(`${left}>${right}`);
    if (this.randomBelow(3) > 0) this.cuts.add(`${right}>${left}`);
  }

  protected receive(message: ConsensusMessage): void {
    const replica = this.replicas.find((one) => one.id === message.to);
    if (replica !== undefined) this.stepReplica(replica, { kind: 'message', message });
  }

  protected propose(): void {
    const replica = this.findLeader() ?? this.randomReplica();
    const proposals = [];
    for (let count = this.randomBelow(3); count >= 0; count -= 1) {
      const proposalId = this.nextId;
      this.nextId += 1;
      proposals.push({ proposalId, data: Uint8Array.of(proposalId >> 8, proposalId % 256) });
    }
    this.stepReplica(replica, { kind: 'propose', proposals });
  }

  private read(): void {
    const readId = this.nextId;
    this.nextId += 1;
    this.minReadIndexes.set(readId, this.committed.length - 1);
    this.stepReplica(this.randomReplica(), { kind: 'read', readId });
  }

  protected sync(replica: Replica, count: number): void {
    const done = replica.pending.splice(0, count);
    for (const effect of done) replica.disk = applyPersist(replica.disk, effect);
    const last = done.at(-1);
    if (last !== undefined) this.stepReplica(replica, { kind: 'synced', sequence: last.sequence });
  }

  private syncSome(replica: Replica): void {
    if (replica.isDown || replica.pausedUntil > this.nowMs) return;
    this.sync(replica, 1 + this.randomBelow(replica.pending.length + 1));
  }

  private crash(replica: Replica): void {
    if (replica.isDown) return;
    const survivors = replica.pending.slice(0, this.randomBelow(replica.pending.length + 1));
    for (const effect of survivors) replica.disk = applyPersist(replica.disk, effect);
    replica.isDown = true;
  }

  private restart(replica: Replica): void {
    if (!replica.isDown) return;
    this.replicas[this.replicas.indexOf(replica)] = this.startReplica(replica.id, replica.disk);
  }

  private compact(replica: Replica): void {
    const { commitIndex } = replica.state;
    if (replica.isDown || replica.pausedUntil > this.nowMs) return;
    this.stepReplica(replica, {
      kind: 'compact',
      index: commitIndex,
      data: encodeHash(replica.hash),
    });
  }

  /** Empties a disk, unless the replica whose disk was emptied last is not a voter yet. */
  protected emptyDisk(replica: Replica): void {
    if (this.emptiedReplicaId !== undefined && !this.isVoter(this.emptiedReplicaId)) return;
    const number = Number(replica.id.split('/')[1]) + 1;
    const id = `${hostIdOf(replica.id)}/${number}`;
    this.replicas[this.replicas.indexOf(replica)] = this.startReplica(id, firstDisk());
    this.emptiedReplicaId = id;
  }

  protected isVoter(id: ReplicaId): boolean {
    return this.replicas.some((one) => one.committedMembers.voters.includes(id));
  }

  protected addEmptiedReplica(): void {
    const leader = this.findLeader();
    if (leader === undefined || this.emptiedReplicaId === undefined) return;
    const change = { change: 'add', replicaId: this.emptiedReplicaId } as const;
    this.stepReplica(leader, { kind: 'changeMembers', change });
  }

  /** Time on the monotonic clock of a replica. */
  protected clockOf(_replica: Pick<Replica, 'id'>): number {
    return this.nowMs;
  }

  protected stepReplica(replica: Replica, input: ConsensusInput): void {
    if (replica.isDown || replica.pausedUntil > this.nowMs) return;
    const nowMs = this.clockOf(replica);
    const context = { nowMs, random: this.randomBelow(1000) / 1000 };
    const isEarlyTick = input.kind === 'tick' && nowMs < nextTickDueMs(replica.state);
    const effects = step(replica.state, context, input);
    const isStepDown = effects.some(({ kind }) => kind === 'roleChanged');
    if (isEarlyTick && effects.length > 0 && !isStepDown) {
      throw new Error(
        `a tick before its due time produced ${effects.map(({ kind }) => kind).join(', ')}`,
      );
    }
    this.mutation?.(replica, effects);
    for (const effect of effects) this.executeEffect(replica, effect);
    this.checkLeases();
  }

  protected executeEffect(replica: Replica, effect: ConsensusEffect): void {
    if (effect.kind === 'send') this.network.push(effect.message);
    else if (effect.kind === 'persist') this.persist(replica, effect);
    else if (effect.kind === 'apply') this.apply(replica, effect.entries);
    else if (effect.kind === 'roleChanged' && effect.role === 'leader') this.checkElection(replica);
    else if (effect.kind === 'membersChanged') replica.committedMembers = effect.members;
    else if (effect.kind === 'readReady') {
      assertInvariant(
        effect.index >= (this.minReadIndexes.get(effect.readId) ?? 0),
        'a read has a lower index than a commit before it',
      );
      assertInvariant(
        replica.state.commitIndex >= effect.index,
        'a read completed before its index was committed',
      );
    } else if (effect.kind === 'restore') {
      replica.hash = this.hashes[effect.snapshot.index] ?? -1;
      assertInvariant(
        String(encodeHash(replica.hash)) === String(effect.snapshot.data),
        'a snapshot differs from the state at its index',
      );
      replica.committedMembers = effect.snapshot.members;
    }
  }

  private persist(replica: Replica, effect: PersistEffect): void {
    replica.pending.push(effect);
    for (const entry of effect.entries) {
      const prevTerm = termAt(replica.state.log, entry.index - 1);
      const prevTermAndKey = `${prevTerm} ${keyOf(entry)}`;
      const id = `${entry.index}/${entry.term}`;
      const known = this.seenEntries.get(id);
      if (prevTerm === undefined) continue;
      assertInvariant(
        known === undefined || known === prevTermAndKey,
        'the log matching property is violated',
      );
      this.seenEntries.set(id, prevTermAndKey);
    }
  }

  private apply(replica: Replica, entries: readonly LogEntry[]): void {
    for (const entry of entries) {
      const key = keyOf(entry);
      replica.hash = hashOf(replica.hash, entry);
      const known = this.committed[entry.index];
      if (known !== undefined) {
        assertInvariant(
          known.term === entry.term && known.key === key,
          'applied entries differ between replicas',
        );
        continue;
      }
      assertInvariant(entry.index === this.committed.length, 'applied entries have a gap');
      this.committed.push({ term: entry.term, key });
      this.hashes.push(replica.hash);
      if (entry.body.kind === 'command') this.commits += 1;
    }
  }

  private checkElection(replica: Replica): void {
    const { term, log } = replica.state;
    assertInvariant((this.leaders.get(term) ?? replica.id) === replica.id, 'two leaders in a term');
    this.leaders.set(term, replica.id);
    const last = this.committed.length - 1;
    assertInvariant(lastIndexOf(log) >= last, 'a leader lacks a committed entry');
    const held = entryAt(log, last);
    assertInvariant(
      held === undefined || held.term === this.committed[last]?.term,
      'a leader has another term at a committed index',
    );
  }

  protected checkLeases(): void {
    let holders = 0;
    for (const replica of this.replicas) {
      if (!replica.isDown && holdsLease(replica.state, this.clockOf(replica))) holders += 1;
    }
    assertInvariant(holders <= 1, 'two replicas hold a lease');
  }
}
