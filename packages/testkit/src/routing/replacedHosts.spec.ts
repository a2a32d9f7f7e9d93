import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { routedFeatures } from '@buckthornlug/host/features.js';
import { startHost, type RunningHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import type { GroupDescription } from '@buckthornlug/host/consensus/consensusSchema.js';
import {
  routingSettingsSchema,
  type Settings,
} from '@buckthornlug/protocol/settings/settingsSchema.js';
import test from 'ava';

import { createFleetSettings } from '../fakes/hostSettings.js';
import { timeUntil } from '../time/timeUntil.js';
import { routedDocument } from './routedFleet.js';

/**
 * Control hosts that are replaced by others. Guards against a group that has no quorum any more after planned
 * replacements, since the hosts that are gone stay voters.
 */

const founders = ['c1', 'c2', 'c3'];
const successors = ['c4', 'c5', 'c6'];
const waitLimitMs = 15_000;
const silentMs = 700;

let dataFolder: string;
let running: Map<string, RunningHost>;

function createSettings(): ReadonlyMap<string, Settings> {
  const hosts = [...founders, ...successors].map((hostId, index) => ({
    hostId,
    region: `region-${index % 3}`,
    availabilityZone: `zone-${index % 3}`,
    roles: ['control' as const],
  }));
  const losses = { hosts: 1, availabilityZones: 1, regions: 1 };
  const group = {
    id: 'control',
    members: founders,
    admitsControlHosts: true,
    replacement: { silentMs, losses },
  };
  const timing = { electionTimeoutMs: 300, heartbeatMs: 50 };
  const all = createFleetSettings(hosts, { dataFolder, groups: [group], timing });
  const routing = routingSettingsSchema.parse({ regionOfZone: {} });
  return new Map(all.map((settings) => [settings.hostId, { ...settings, routing }]));
}

async function start(settings: Settings | undefined): Promise<void> {
  if (settings === undefined) throw new Error('the host has no settings');
  const started = await startHost(settings, { features: routedFeatures });
  running.set(settings.hostId, started._unsafeUnwrap());
}

async function stop(hostId: string): Promise<void> {
  await running.get(hostId)?.stop();
  running.delete(hostId);
}

/** Hosts that vote, as the leader sees it; empty without a leader. */
function votingHostIds(): readonly string[] {
  for (const { parts } of running.values()) {
    const status = parts.running.find(({ name }) => name === 'consensus')?.status?.() as
      { readonly groups: readonly GroupDescription[] } | undefined;
    const [group] = status?.groups ?? [];
    if (group?.isLeader !== true) continue;
    const voters = (group.replicas ?? []).filter(({ role }) => role === 'voter');
    return voters.map(({ hostId }) => hostId).sort();
  }
  return [];
}

const haveVotes = (hostIds: readonly string[]) =>
  timeUntil(() => votingHostIds().join() === [...hostIds].sort().join(), waitLimitMs);

function routingCommands() {
  const [host] = [...running.values()];
  const commands = host?.parts.routingCommands;
  if (commands === undefined) throw new Error('no control host runs');
  return commands;
}

test.beforeEach(async () => {
  dataFolder = await mkdtemp(join(tmpdir(), 'replaced-'));
  running = new Map();
});

test.afterEach.always(async () => {
  await Promise.all([...running.keys()].map(stop));
  await rm(dataFolder, { recursive: true });
});

test.serial('each control host is replaced in turn, and the document is kept', async (t) => {
  const settings = createSettings();
  await Promise.all(founders.map((hostId) => start(settings.get(hostId))));
  t.not(await haveVotes(founders), Infinity);
  (await routingCommands().replace(routedDocument(1)))._unsafeUnwrap();
  for (const [index, successor] of successors.entries()) {
    await start(settings.get(successor));
    const voters = [...founders.slice(index), ...successors.slice(0, index + 1)];
    t.not(await haveVotes(voters), Infinity, `${successor} does not vote`);
    await stop(founders[index] ?? '');
    t.not(await haveVotes(voters.slice(1)), Infinity, `${founders[index]} still votes`);
  }
  const read = (await routingCommands().read())._unsafeUnwrap();
  t.is(read?.version, 1);
  (await routingCommands().replace(routedDocument(2)))._unsafeUnwrap();
});

test.serial('a host that was removed while it was away votes again', async (t) => {
  const settings = createSettings();
  await Promise.all(founders.map((hostId) => start(settings.get(hostId))));
  t.not(await haveVotes(founders), Infinity);
  await start(settings.get('c4'));
  t.not(await haveVotes([...founders, 'c4']), Infinity);
  await stop('c2');
  t.not(await haveVotes(['c1', 'c3', 'c4']), Infinity);
  await start(settings.get('c2'));
  t.not(await haveVotes([...founders, 'c4']), Infinity);
});

test.serial('a host stays a voter while the others would not bear the losses', async (t) => {
  const settings = createSettings();
  await Promise.all(founders.map((hostId) => start(settings.get(hostId))));
  t.not(await haveVotes(founders), Infinity);
  await stop('c2');
  const isRemoved = () => votingHostIds().length === 2;
  t.is(await timeUntil(isRemoved, 3 * silentMs), Infinity);
  t.deepEqual(votingHostIds(), founders);
});
