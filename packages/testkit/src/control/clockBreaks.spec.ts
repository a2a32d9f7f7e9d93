import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { routedFeatures } from '@buckthornlug/host/features.js';
import { startHost, type RunningHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import { createProcessClock } from '@buckthornlug/host/runtime/processClock.js';
import { routingSettingsSchema } from '@buckthornlug/protocol/settings/settingsSchema.js';
import test from 'ava';

import { createFleetSettings } from '../fakes/hostSettings.js';
import { timeUntil } from '../time/timeUntil.js';

const hostIds = ['c1', 'c2', 'c3'];
const timing = { electionTimeoutMs: 1000, heartbeatMs: 50 };
/** Time within which hosts whose clock broke are as before: some heartbeats. */
const settledWithinMs = 900;

const controlOf = ({ parts: { control } }: RunningHost) => {
  if (control === undefined) throw new Error('the host has no control group');
  return control;
};

/** Wall clocks of the hosts, which a test sets ahead or back; a suspension looks like a step ahead. */
const wallStepsMs = new Map<string, number>();

// Guards against suspended machines that vouch for old state or act on an old lease; a step of the wall clock costs no election.
test('a break of its clock takes the lease and the age of state from a host until the next heartbeats', async (t) => {
  const dataFolder = await mkdtemp(join(tmpdir(), 'clock-breaks-'));
  t.teardown(() => rm(dataFolder, { recursive: true }));
  const places = hostIds.map((hostId) => ({
    hostId,
    region: 'north',
    availabilityZone: 'north-a',
    roles: ['control' as const],
  }));
  const groups = [{ id: 'control', members: hostIds }];
  const routing = routingSettingsSchema.parse({ regionOfZone: {} });
  const hosts: RunningHost[] = [];
  for (const settings of createFleetSettings(places, { dataFolder, groups, timing })) {
    const { hostId } = settings;
    const clock = createProcessClock({
      monotonicMs: () => performance.now(),
      wallMs: () => Date.now() + (wallStepsMs.get(hostId) ?? 0),
    });
    const started = await startHost({ ...settings, routing }, { features: routedFeatures, clock });
    const host = started._unsafeUnwrap();
    t.teardown(host.stop);
    hosts.push(host);
  }
  const areSettled = () =>
    hosts.every((host) => controlOf(host).stateAgeMs() < timing.electionTimeoutMs) &&
    hosts.some((host) => controlOf(host).isLeader());
  t.not(await timeUntil(areSettled), Infinity);
  const leader = hosts.find((host) => controlOf(host).isLeader()) as RunningHost;
  for (const stepMs of [5000, 0]) {
    for (const { context } of hosts) wallStepsMs.set(context.settings.hostId, stepMs);
    for (const host of hosts) t.is(controlOf(host).stateAgeMs(), Infinity);
    t.false(controlOf(leader).isLeader());
    t.true((await timeUntil(areSettled)) < settledWithinMs);
    t.true(controlOf(leader).isLeader());
  }
});
