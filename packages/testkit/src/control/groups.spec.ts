import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { ReplicatedMachine } from '@buckthornlug/core/consensus/replicatedMachineTypes.js';
import type { GroupDescription } from '@buckthornlug/host/consensus/consensusSchema.js';
import type { GroupHandle } from '@buckthornlug/host/consensus/groupTypes.js';
import { startHost, type RunningHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import { features } from '@buckthornlug/host/features.js';
import test, { type ExecutionContext } from 'ava';

import { createFleetSettings, type FleetHost } from '../fakes/hostSettings.js';
import { valueOf } from '../fakes/results.js';
import { timeUntil } from '../time/timeUntil.js';

/** A machine that keeps a list of words. */
interface AddWord {
  readonly word: string;
}

type Words = ReplicatedMachine<AddWord, number>;

function createWords(): Words & { readonly words: () => readonly string[] } {
  let words: string[] = [];
  return {
    words: () => words,
    apply: ({ word }) => words.push(word),
    snapshot: () => [...words],
    restore: (snapshot) => {
      words = snapshot as string[];
    },
  };
}

interface Member {
  readonly host: RunningHost;
  readonly words: () => readonly string[];
  readonly group: GroupHandle<AddWord, number>;
}

const timing = { electionTimeoutMs: 300, heartbeatMs: 50 };
const timeoutMs = 5000;

const fleet: FleetHost[] = ['a', 'b', 'c', 'd'].map((hostId) => ({
  hostId,
  region: 'lagos',
  availabilityZone: `lagos-${hostId}`,
  roles: hostId === 'd' ? ['entry'] : ['entry', 'control'],
}));

const wanted = new Set(['consensus', 'admin']);

async function startMembers(t: ExecutionContext, dataFolder: string): Promise<Member[]> {
  const groups = [{ id: 'control', members: ['a', 'b', 'c'] }];
  const settings = createFleetSettings(fleet, { dataFolder, groups, timing });
  const members: Member[] = [];
  for (const one of settings) {
    const chosen = features.filter(({ name }) => wanted.has(name));
    const host = valueOf(await startHost(one, { features: chosen }));
    t.teardown(host.stop);
    const machine = createWords();
    const group = host.parts.openGroup('control', machine);
    members.push({ host, group, words: machine.words });
  }
  return members;
}

test.serial('commands from every host are applied by every member, across a restart', async (t) => {
  const dataFolder = await mkdtemp(join(tmpdir(), 'bl-groups-'));
  t.teardown(() => rm(dataFolder, { recursive: true }));
  const expected: string[] = [];
  for (let round = 0; round < 2; round += 1) {
    const members = await startMembers(t, dataFolder);
    for (const [index, { group }] of members.entries()) {
      expected.push(`${round}-${index}`);
      const reply = valueOf(await group.submit({ word: `${round}-${index}` }, timeoutMs));
      t.is(reply, expected.length);
    }
    for (const { group, words } of members.slice(0, 3)) {
      valueOf(await group.readBarrier(timeoutMs));
      t.deepEqual(words(), expected);
    }
    t.is(members.filter(({ group }) => group.isLeader()).length, 1);
    await Promise.all(members.map(({ host }) => host.stop()));
  }
});

test.serial(
  'a planned stop of the leader hands the lead over without a failed command',
  async (t) => {
    const dataFolder = await mkdtemp(join(tmpdir(), 'bl-groups-'));
    t.teardown(() => rm(dataFolder, { recursive: true }));
    const members = await startMembers(t, dataFolder);
    const outside = members[3] as Member;
    valueOf(await outside.group.submit({ word: 'before' }, timeoutMs));
    const leader = members.find(({ group }) => group.isLeader()) as Member;
    const stopped = leader.host.stop();
    valueOf(await outside.group.submit({ word: 'during' }, timeoutMs));
    await stopped;
    valueOf(await outside.group.submit({ word: 'after' }, timeoutMs));
    const other = members.find((member) => member !== leader && member !== outside) as Member;
    valueOf(await other.group.readBarrier(timeoutMs));
    t.deepEqual(other.words(), ['before', 'during', 'after']);
    await Promise.all(members.map(({ host }) => host.stop()));
  },
);

test.serial('an emptied disk comes back as a new replica that holds everything', async (t) => {
  const dataFolder = await mkdtemp(join(tmpdir(), 'bl-groups-'));
  t.teardown(() => rm(dataFolder, { recursive: true }));
  const first = await startMembers(t, dataFolder);
  valueOf(await (first[0] as Member).group.submit({ word: 'kept' }, timeoutMs));
  await Promise.all(first.map(({ host }) => host.stop()));
  await rm(join(dataFolder, 'b'), { recursive: true });
  const second = await startMembers(t, dataFolder);
  const repaired = second[1] as Member;
  valueOf(await repaired.group.readBarrier(timeoutMs));
  t.deepEqual(repaired.words(), ['kept']);
  await Promise.all(second.map(({ host }) => host.stop()));
});

/** Whether some member leads and no replica lacks an entry by its replies. */
function haveAllReplied(members: readonly Member[]): boolean {
  const groups = members.flatMap(({ host }) =>
    host.parts.running.flatMap(({ status }) => (status?.().groups as GroupDescription[]) ?? []),
  );
  const { replicas } = groups.find(({ isLeader }) => isLeader === true) ?? {};
  return replicas?.every(({ lagEntries }) => lagEntries === 0) ?? false;
}

// Guards against control hosts that fall behind their heartbeats while documents of megabytes change.
test.serial(
  'a long command is compressed in the log of every member and applied whole',
  async (t) => {
    const dataFolder = await mkdtemp(join(tmpdir(), 'bl-groups-'));
    t.teardown(() => rm(dataFolder, { recursive: true }));
    const members = await startMembers(t, dataFolder);
    const long = 'word '.repeat(200_000);
    const outside = members[3] as Member;
    for (const word of ['first', long, 'last']) {
      valueOf(await outside.group.submit({ word }, timeoutMs));
    }
    for (const { host, group, words } of members.slice(0, 3)) {
      valueOf(await group.readBarrier(timeoutMs));
      t.deepEqual(words(), ['first', long, 'last']);
      const series = host.context.metrics.series().find(({ name }) => name === 'group_log_bytes');
      t.true(series?.type === 'gauge' && series.value < long.length / 10);
    }
    await Promise.all(members.map(({ host }) => host.stop()));
  },
);

test.serial('a long command that was compressed is applied again after a restart', async (t) => {
  const dataFolder = await mkdtemp(join(tmpdir(), 'bl-groups-'));
  t.teardown(() => rm(dataFolder, { recursive: true }));
  const long = 'word '.repeat(20_000);
  const first = await startMembers(t, dataFolder);
  valueOf(await (first[1] as Member).group.submit({ word: 'first' }, timeoutMs));
  t.not(await timeUntil(() => haveAllReplied(first), timeoutMs), Infinity);
  valueOf(await (first[1] as Member).group.submit({ word: long }, timeoutMs));
  await Promise.all(first.map(({ host }) => host.stop()));
  for (const { host, group, words } of await startMembers(t, dataFolder)) {
    if (!host.context.settings.roles.includes('control')) continue;
    valueOf(await group.readBarrier(timeoutMs));
    t.deepEqual(words(), ['first', long]);
  }
});
