import test from 'ava';

import type { AppendMessage, ConsensusInput, DurableState } from './consensusTypes.js';
import { stateAgeMs, step } from './replica.js';
import { Schedule, scheduleOptions, type Replica } from './replicaSchedule.js';
import { createReplica, type ReplicaState } from './replicaState.js';
import { sampleOptions } from './sampleOptions.js';
import { assertInvariant } from './scheduleParts.js';

/** Snapshot up to index 1, and a command of term 1 at index 2 that may not be committed. */
function durableState(voters: readonly string[]): DurableState {
  const command = { kind: 'command', data: new Uint8Array([1]) } as const;
  return {
    hardState: { term: 1, votedFor: null },
    snapshot: {
      index: 1,
      term: 1,
      members: { voters, learners: [] },
      data: new Uint8Array(0),
    },
    entries: [{ index: 2, term: 1, body: command }],
  };
}

/** Ticks a replica and, if `isSynced`, reports its changes as synced. */
function tick(state: ReplicaState, nowMs: number, isSynced = true): void {
  const effects = step(state, { nowMs, random: 0.5 }, { kind: 'tick' });
  const persisted = effects.findLast((effect) => effect.kind === 'persist');
  if (!isSynced || persisted?.kind !== 'persist') return;
  step(state, { nowMs, random: 0.5 }, { kind: 'synced', sequence: persisted.sequence });
}

test('a new leader reports no leader contact until an entry of its term is committed', (t) => {
  const state = createReplica('a/1', durableState(['a/1']), sampleOptions, 0);
  let nowMs = 0;
  while (state.role !== 'leader' && nowMs < 10_000) {
    nowMs += 50;
    tick(state, nowMs);
  }
  t.is(state.role, 'leader');
  t.true(state.commitIndex < 3);
  t.is(stateAgeMs(state, nowMs), Number.POSITIVE_INFINITY);
  step(state, { nowMs, random: 0.5 }, { kind: 'synced', sequence: state.persistSequence });
  t.is(state.commitIndex, 3);
  t.is(stateAgeMs(state, nowMs), 0);
});

test('a replica without a message from a leader since its start reports no leader contact', (t) => {
  const state = createReplica('a/1', durableState(['a/1', 'b/1', 'c/1']), sampleOptions, 0);
  t.is(stateAgeMs(state, 100), Number.POSITIVE_INFINITY);
});

/** Hands a replica a message of the leader `b/1` in term 2. */
function hear(
  state: ReplicaState,
  nowMs: number,
  content: Pick<AppendMessage, 'prevIndex' | 'prevTerm' | 'entries' | 'commitIndex'>,
): void {
  const message: AppendMessage = {
    kind: 'append',
    from: 'b/1',
    to: 'a/1',
    term: 2,
    round: nowMs,
    sentAtMs: nowMs,
    ...content,
  };
  step(state, { nowMs, random: 0.5 }, { kind: 'message', message });
}

/** Follower of term 2 that holds the first two of nine committed entries. */
function laggingReplica(): ReplicaState {
  const state = createReplica('a/1', durableState(['a/1', 'b/1', 'c/1']), sampleOptions, 0);
  const entry = { index: 2, term: 2, body: { kind: 'noop' } } as const;
  hear(state, 100, { prevIndex: 1, prevTerm: 1, entries: [entry], commitIndex: 2 });
  return state;
}

const heartbeats = [
  { heartbeat: 'behind the missing entries', prevIndex: 9, prevTerm: 2 },
  { heartbeat: 'at the last entry held', prevIndex: 2, prevTerm: 2 },
];
for (const { heartbeat, ...previous } of heartbeats) {
  test(`a replica that hears heartbeats ${heartbeat} and lacks committed entries vouches for no state`, (t) => {
    const state = laggingReplica();
    for (let nowMs = 200; nowMs <= 6000; nowMs += 100) {
      hear(state, nowMs, { ...previous, entries: [], commitIndex: 9 });
    }
    t.is(state.commitIndex, 2);
    t.true(stateAgeMs(state, 6000) >= 5000, `${stateAgeMs(state, 6000)} ms`);
  });
}

/** Checks after each step that a replica holds all that was committed before the time it vouches for. */
class VouchingSchedule extends Schedule {
  /** Time at which each entry was first applied. */
  private readonly committedAtMs: number[] = [];

  vouched = 0;

  /** Largest time since the moment that a replica vouches for, of all replicas without faults. */
  silentMsWithoutFaults(): number {
    const rounds = 200;
    let largestMs = 0;
    for (let round = 0; round < 2 * rounds; round += 1) {
      this.runFaultlessRound(round);
      if (round < rounds) continue;
      for (const { state } of this.replicas) {
        largestMs = Math.max(largestMs, stateAgeMs(state, this.nowMs));
      }
    }
    return largestMs;
  }

  protected override stepReplica(replica: Replica, input: ConsensusInput): void {
    super.stepReplica(replica, input);
    while (this.committedAtMs.length < this.committed.length) this.committedAtMs.push(this.nowMs);
    if (replica.isDown || replica.pausedUntil > this.nowMs) return;
    const silentMs = stateAgeMs(replica.state, this.nowMs);
    if (silentMs <= scheduleOptions.electionTimeoutMs) this.vouched += 1;
    const lackedSinceMs = this.committedAtMs[replica.state.commitIndex + 1] ?? Infinity;
    assertInvariant(
      lackedSinceMs >= this.nowMs - silentMs,
      `${replica.id} vouches for ${silentMs} ms ago and lacks a commit of ${this.nowMs - lackedSinceMs} ms ago`,
    );
  }
}

test('a replica holds all that was committed before the time it vouches for, whatever is lost or late', (t) => {
  let vouched = 0;
  for (let seed = 1; seed <= 150; seed += 1) {
    const schedule = new VouchingSchedule(seed);
    t.notThrows(() => schedule.run(1500), `seed ${seed}`);
    vouched += schedule.vouched;
  }
  t.true(vouched > 0);
});

test('a replica vouches for a moment at most three heartbeats ago while nothing is lost or late', (t) => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const silentMs = new VouchingSchedule(seed).silentMsWithoutFaults();
    t.true(silentMs <= 3 * scheduleOptions.heartbeatMs, `seed ${seed}: ${silentMs} ms`);
  }
});
