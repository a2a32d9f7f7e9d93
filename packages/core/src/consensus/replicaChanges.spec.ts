import test from 'ava';

import type { MembershipChange, Members } from './consensusTypes.js';
import { planReplicaChange } from './replicaChanges.js';
import { scheduleOptions as options } from './replicaSchedule.js';
import { createReplica, type Progress, type ReplicaState } from './replicaState.js';

const requestedAtMs = 800;
const nowMs = 1000;

function progressAckedAt(ackedSentAtMs: number): Progress {
  const tracked = { matchIndex: 0, nextIndex: 1, isProbing: false, trackedSinceMs: 0 };
  return { ...tracked, ackedRound: 1, ackedSentAtMs };
}

/** A leader `a/1` with recent acknowledgements from `answeringIds` only. */
function createLeader(members: Members, answeringIds: readonly string[]): ReplicaState {
  const snapshot = { index: 0, term: 0, members, data: new Uint8Array(0) };
  const durable = { hardState: { term: 0, votedFor: null }, snapshot, entries: [] };
  const state = createReplica('a/1', durable, options, 0);
  const peers = [...members.voters, ...members.learners].filter((id) => id !== 'a/1');
  const progress = new Map(
    peers.map((id) => [id, progressAckedAt(answeringIds.includes(id) ? nowMs - 10 : 0)]),
  );
  state.role = 'leader';
  state.leadership = {
    progress,
    round: 1,
    nextHeartbeatMs: 0,
    startedAtMs: 0,
    firstIndex: 0,
    readsInRound: [],
    waitingReads: [],
  };
  return state;
}

const threeVoters: Members = { voters: ['a/1', 'b/1', 'c/1'], learners: [] };
const fourVoters: Members = { voters: ['a/1', 'b/1', 'c/1', 'd/1'], learners: [] };
const withLearner: Members = { voters: ['a/1', 'b/1', 'c/1'], learners: ['d/1'] };
const add = (replicaId: string): MembershipChange => ({ change: 'add', replicaId });
const remove = (replicaId: string): MembershipChange => ({ change: 'remove', replicaId });

const cases = [
  { what: 'a new host', members: threeVoters, heard: ['b/1'], change: add('d/1'), plan: 'make' },
  {
    what: 'the same replica again while it is a learner',
    members: withLearner,
    heard: ['b/1'],
    change: add('d/1'),
    plan: 'done',
  },
  {
    what: 'the same replica again once it is a voter',
    members: fourVoters,
    heard: ['b/1'],
    change: add('d/1'),
    plan: 'done',
  },
  {
    what: 'a second host while the first is a learner',
    members: withLearner,
    heard: ['b/1'],
    change: add('e/1'),
    plan: 'changePending',
  },
  {
    what: 'a lost voter',
    members: threeVoters,
    heard: ['b/1'],
    change: remove('c/1'),
    plan: 'make',
  },
  {
    what: 'a lost learner',
    members: withLearner,
    heard: ['b/1'],
    change: remove('d/1'),
    plan: 'make',
  },
  {
    what: 'a replica that is not a member',
    members: threeVoters,
    heard: ['b/1'],
    change: remove('d/1'),
    plan: 'done',
  },
  {
    what: 'the only other voter that answers',
    members: threeVoters,
    heard: ['b/1'],
    change: remove('b/1'),
    plan: 'noMajority',
  },
  {
    what: 'the leader itself',
    members: threeVoters,
    heard: ['b/1', 'c/1'],
    change: remove('a/1'),
    plan: 'make',
  },
  {
    what: 'the last voter',
    members: { voters: ['a/1'], learners: [] },
    heard: [],
    change: remove('a/1'),
    plan: 'noMajority',
  },
] as const;

for (const { what, members, heard, change, plan } of cases) {
  test(`${change.change} ${what}: ${plan}`, (t) => {
    const state = createLeader(members, heard);
    const baseReplicaIds = [...members.voters, ...members.learners];
    const planned = planReplicaChange(state, { change, baseReplicaIds, requestedAtMs }, nowMs);
    t.is(planned.plan === 'refuse' ? planned.reason : planned.plan, plan);
  });
}

test('a change with another base is refused, unless it is already in effect', (t) => {
  const state = createLeader(fourVoters, ['b/1', 'c/1', 'd/1']);
  const baseReplicaIds = threeVoters.voters;
  const refused = planReplicaChange(
    state,
    { change: remove('c/1'), baseReplicaIds, requestedAtMs },
    nowMs,
  );
  t.deepEqual(refused, { plan: 'refuse', reason: 'otherBase' });
  const done = planReplicaChange(
    state,
    { change: add('d/1'), baseReplicaIds, requestedAtMs },
    nowMs,
  );
  t.deepEqual(done, { plan: 'done' });
});

test('a removal waits for acknowledgements of messages sent after the request', (t) => {
  const state = createLeader(threeVoters, ['b/1', 'c/1']);
  const requested = {
    change: remove('c/1'),
    baseReplicaIds: threeVoters.voters,
    requestedAtMs: nowMs - 5,
  };
  t.deepEqual(planReplicaChange(state, requested, nowMs), { plan: 'wait' });
  const late = planReplicaChange(state, requested, nowMs + options.electionTimeoutMs);
  t.deepEqual(late, { plan: 'refuse', reason: 'noMajority' });
});

test('a change waits while another is not committed, and only the leader plans one', (t) => {
  const state = createLeader(threeVoters, ['b/1', 'c/1']);
  const requested = { change: add('d/1'), baseReplicaIds: threeVoters.voters, requestedAtMs };
  state.membersIndex = 1;
  t.deepEqual(planReplicaChange(state, requested, nowMs), { plan: 'wait' });
  delete state.leadership;
  const refused = planReplicaChange(state, requested, nowMs);
  t.deepEqual(refused, { plan: 'refuse', reason: 'notLeader' });
});
