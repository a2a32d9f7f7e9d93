import test from 'ava';

import type { Members } from './consensusTypes.js';
import { step } from './replica.js';
import { createReplica, type Progress, type ReplicaState } from './replicaState.js';
import { sampleOptions } from './sampleOptions.js';

/** Which silent replicas a leader removes; it must not shrink the group below what it has to bear. */

const nowMs = 10_000;
const silentMs = 4000;

/** Hosts `<region><zone><number>`, such as `a11`; losses as on a deployment of three regions. */
const replacement = {
  silentMs,
  losses: { hosts: 2, availabilityZones: 1, regions: 1 },
  placeOf: (hostId: string) => ({
    availabilityZone: hostId.slice(0, 2),
    region: hostId.slice(0, 1),
  }),
};

function progressSilentFor(silenceMs: number): Progress {
  const tracked = { matchIndex: 1, nextIndex: 2, isProbing: false, trackedSinceMs: 0 };
  return { ...tracked, ackedRound: 1, ackedSentAtMs: nowMs - silenceMs };
}

/** A leader, the first voter, that heard the other replicas last before the times given. */
function createLeader(members: Members, silenceMsOf: Readonly<Record<string, number>>) {
  const [leaderId] = members.voters as [string];
  const snapshot = { index: 1, term: 1, members, data: new Uint8Array(0) };
  const durable = { hardState: { term: 1, votedFor: leaderId }, snapshot, entries: [] };
  const options = { ...sampleOptions, replacement };
  const state = createReplica(leaderId, durable, options, 0);
  state.role = 'leader';
  state.leader = leaderId;
  const peers = [...members.voters, ...members.learners].filter((id) => id !== leaderId);
  state.leadership = {
    progress: new Map(peers.map((id) => [id, progressSilentFor(silenceMsOf[id] ?? 10)])),
    round: 1,
    nextHeartbeatMs: 0,
    startedAtMs: 0,
    firstIndex: 1,
    readsInRound: [],
    waitingReads: [],
  };
  return state;
}

function removedAt(state: ReplicaState, atMs: number): string | undefined {
  const effects = step(state, { nowMs: atMs, random: 0.5 }, { kind: 'tick' });
  const removed = effects.find((effect) => effect.kind === 'silentReplicaRemoved');
  return removed?.kind === 'silentReplicaRemoved' ? removed.replicaId : undefined;
}

const six = ['a11/1', 'a21/1', 'b11/1', 'b21/1', 'c11/1', 'c21/1'];
const nine = ['a11', 'a21', 'a31', 'b11', 'b21', 'b31', 'c11', 'c21', 'c31'].map((id) => `${id}/1`);

interface Case {
  readonly what: string;
  readonly voters: readonly string[];
  readonly learners?: readonly string[];
  readonly silent: Readonly<Record<string, number>>;
  readonly removed: string | undefined;
}

const cases: readonly Case[] = [
  { what: 'nobody while all answer', voters: six, silent: {}, removed: undefined },
  {
    what: 'a voter whose successor votes',
    voters: [...six, 'b12/1'],
    silent: { 'b11/1': 5000 },
    removed: 'b11/1',
  },
  {
    what: 'nobody before the time is over',
    voters: [...six, 'b12/1'],
    silent: { 'b11/1': 3900 },
    removed: undefined,
  },
  {
    what: 'the voter that is silent longest',
    voters: [...six, 'b12/1', 'b22/1'],
    silent: { 'b11/1': 5000, 'b21/1': 6000 },
    removed: 'b21/1',
  },
  {
    what: 'one voter of six, as five bear two hosts, a zone or a region',
    voters: six,
    silent: { 'b11/1': 5000 },
    removed: 'b11/1',
  },
  {
    what: 'no voter of a region of two that is cut off, as four bear one host',
    voters: six,
    silent: { 'b11/1': 5000, 'b21/1': 5000 },
    removed: undefined,
  },
  {
    what: 'a voter of a region of three that is cut off, while nine bear one more host',
    voters: nine,
    silent: { 'b11/1': 5000, 'b21/1': 5000, 'b31/1': 5000 },
    removed: 'b11/1',
  },
  {
    what: 'no further voter of that region once the group bears two hosts',
    voters: nine.filter((id) => id !== 'b11/1' && id !== 'b21/1'),
    silent: { 'b31/1': 5000 },
    removed: undefined,
  },
  {
    what: 'a learner, whatever the voters bear',
    voters: six,
    learners: ['b12/1'],
    silent: { 'b11/1': 5000, 'b21/1': 5000, 'b12/1': 5000 },
    removed: 'b12/1',
  },
];

for (const { what, voters, learners = [], silent, removed } of cases) {
  test(`a leader removes ${what}`, (t) => {
    t.is(removedAt(createLeader({ voters, learners }, silent), nowMs), removed);
  });
}

test('a leader that was just elected counts the silence from its election on', (t) => {
  const members = { voters: [...six, 'b12/1'], learners: [] };
  const state = createLeader(members, { 'b11/1': Infinity });
  const progress = state.leadership?.progress;
  progress?.set('b11/1', { ...progressSilentFor(Infinity), trackedSinceMs: nowMs - 1000 });
  t.is(removedAt(state, nowMs), undefined);
});

test('a leader removes nobody while another change is not committed', (t) => {
  const state = createLeader({ voters: [...six, 'b12/1'], learners: [] }, { 'b11/1': 5000 });
  state.membersIndex = 2;
  t.is(removedAt(state, nowMs), undefined);
});

test('a leader that stood still steps down and removes nobody', (t) => {
  const state = createLeader({ voters: [...six, 'b12/1'], learners: [] }, {});
  t.is(removedAt(state, nowMs + 10_000), undefined);
  t.is(state.role, 'follower');
});
