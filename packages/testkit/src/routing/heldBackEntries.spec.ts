import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { routedFeatures } from '@buckthornlug/host/features.js';
import { maxStateAgeMs } from '@buckthornlug/host/routing/stateAgeWatch.js';
import { startHost, type RunningHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import { routingSettingsSchema } from '@buckthornlug/protocol/settings/settingsSchema.js';
import test from 'ava';

import { createFleetSettings } from '../fakes/hostSettings.js';
import { timeUntil } from '../time/timeUntil.js';
import { routedDocument } from './routedFleet.js';

/**
 * Guards against a control host that hears its leader's datagrams, lacks the entries that come by procedure calls,
 * and lets entry hosts answer 404 for routes that are in force.
 */

const hostIds = ['c1', 'c2', 'c3'];

let dataFolder: string;
let hosts: RunningHost[];

const controlOf = (host: RunningHost | undefined) => {
  const control = host?.parts.control;
  if (control === undefined) throw new Error('the host has no control group');
  return control;
};

test.beforeEach(async () => {
  dataFolder = await mkdtemp(join(tmpdir(), 'held-back-'));
  hosts = [];
});

test.afterEach.always(async () => {
  await Promise.all(hosts.map((host) => host.stop()));
  await rm(dataFolder, { recursive: true });
});

test('a control host whose entries are held back while it hears heartbeats vouches for no newer state', async (t) => {
  const places = hostIds.map((hostId) => ({
    hostId,
    region: 'north',
    availabilityZone: 'north-a',
    roles: ['control' as const],
  }));
  const groups = [{ id: 'control', members: hostIds }];
  const timing = { electionTimeoutMs: 1000, heartbeatMs: 50 };
  const routing = routingSettingsSchema.parse({ regionOfZone: {} });
  for (const settings of createFleetSettings(places, { dataFolder, groups, timing })) {
    const started = await startHost({ ...settings, routing }, { features: routedFeatures });
    hosts.push(started._unsafeUnwrap());
  }
  const areConfirmed = () => hosts.every((host) => controlOf(host).stateAgeMs() < maxStateAgeMs);
  t.not(await timeUntil(areConfirmed), Infinity);
  const leader = hosts.find((host) => controlOf(host).isLeader());
  const lagging = hosts.find((host) => !controlOf(host).isLeader());
  const handlers = lagging?.parts.rpcHandlers;
  const { consensus } = handlers ?? {};
  if (handlers === undefined || consensus === undefined) throw new Error('no host follows');
  const deliver = () => Promise.reject(new Error('the connection was reset'));
  handlers.consensus = { ...consensus, deliver };
  const commands = leader?.parts.routingCommands;
  (await commands?.replace(routedDocument(1)))?._unsafeUnwrap();
  const isOld = () => controlOf(lagging).stateAgeMs() > maxStateAgeMs;
  const oldAfterMs = await timeUntil(isOld, 2 * maxStateAgeMs);
  t.true(oldAfterMs < 2 * maxStateAgeMs, `${oldAfterMs} ms`);
  t.is(controlOf(lagging).machine.routing.version(), -1);
  t.is(controlOf(lagging).leaderId(), controlOf(leader).leaderId());
  handlers.consensus = consensus;
  t.not(await timeUntil(areConfirmed), Infinity);
  t.is(controlOf(lagging).machine.routing.version(), 1);
});
