import { mkdtemp, rm } from 'node:fs/promises';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { routedFeatures } from '@buckthornlug/host/features.js';
import { startHost, type RunningHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import type { BackendReport } from '@buckthornlug/protocol/registry/registrySchema.js';
import { routingSettingsSchema } from '@buckthornlug/protocol/settings/settingsSchema.js';
import test from 'ava';
import { request } from 'undici';

import { createFleetSettings } from '../fakes/hostSettings.js';
import { timeUntil } from '../time/timeUntil.js';
import { firstReport, routedDocument } from './routedFleet.js';

/** The region plan on its way from the leader over the other control hosts to the entry hosts. */

const controlHostIds = ['c1', 'c2', 'c3'];
const entryHostIds = ['e1', 'e2', 'e3'];
const zones = ['north-a', 'south-a', 'west-a'];
const regionOf = (zone: string) => zone.slice(0, zone.indexOf('-'));

let dataFolder: string;
let running: Map<string, RunningHost>;
let servers: Server[];
let reports: BackendReport[];
/** Issues that each entry host has taken over, in their order. */
let issues: Map<string, number[]>;

/** Notes an issue that an entry host takes over, from its log. */
function recordIssue(line: string): void {
  if (!line.includes('event=regionPlanInForce')) return;
  const [, hostId = ''] = /\bhostId=(\S+)/.exec(line) ?? [];
  const [, issue] = /\bissue=(\S+)/.exec(line) ?? [];
  issues.get(hostId)?.push(Number(issue));
}

async function startAll(): Promise<void> {
  const hosts = [...controlHostIds, ...entryHostIds].map((hostId, index) => {
    const availabilityZone = zones[index % zones.length] ?? '';
    const roles = hostId.startsWith('c') ? ['control' as const] : ['entry' as const];
    return { hostId, region: regionOf(availabilityZone), availabilityZone, roles };
  });
  const group = { id: 'control', members: controlHostIds, admitsControlHosts: true };
  const timing = { electionTimeoutMs: 300, heartbeatMs: 50 };
  const overrides = { dataFolder, groups: [group], timing, logLevel: 'info' as const };
  const routing = routingSettingsSchema.parse({
    regionOfZone: Object.fromEntries(zones.map((zone) => [zone, regionOf(zone)])),
    // The backend servers report once.
    reportIntervalMs: 60_000,
    maxShiftPermille: 150,
  });
  for (const settings of createFleetSettings(hosts, overrides)) {
    const started = await startHost(
      { ...settings, routing },
      { features: routedFeatures, writeLogLine: recordIssue },
    );
    running.set(settings.hostId, started._unsafeUnwrap());
  }
}

function leader(): RunningHost | undefined {
  return [...running.values()].find(({ parts }) => parts.control?.isLeader() ?? false);
}

function leading(): RunningHost {
  const host = leader();
  if (host === undefined) throw new Error('there is no leader');
  return host;
}

async function addBackend(availabilityZone: string): Promise<void> {
  const backendId = `b-${availabilityZone}`;
  const server = createServer(({ headers }, response) => {
    response.writeHead(200, { 'x-request-id': String(headers['x-request-id']) });
    response.end(backendId);
  });
  servers.push(server);
  const { address } = leading().context.settings.listen.callers;
  await new Promise<void>((resolve) => {
    server.listen(0, address, resolve);
  });
  const report = firstReport(backendId, server.address() as AddressInfo);
  reports.push({ ...report, availabilityZone });
  (await leading().parts.reportBackend({ ...report, availabilityZone }))._unsafeUnwrap();
}

/** Sends calls to an entry host one by one; returns how many were answered with 200. */
async function countAnswered(hostId: string, calls: number): Promise<number> {
  const callers = running.get(hostId)?.context.settings.listen.callers;
  let answered = 0;
  for (let call = 0; call < calls; call += 1) {
    const answer = await request(`http://${callers?.address}:${callers?.port}/reads/${call}`, {
      headers: { host: 'one.example', 'x-request-id': `${hostId}-${call}` },
    });
    await answer.body.dump();
    answered += Number(answer.statusCode === 200);
  }
  return answered;
}

/** Whether an entry host knows all backend servers that have registered. */
function knowsBackends(hostId: string): boolean {
  const features = running.get(hostId)?.parts.running ?? [];
  const status = features.find(({ name }) => name === 'routedCalls')?.status?.() as
    { readonly registryRevision: number } | undefined;
  return (status?.registryRevision ?? 0) >= reports.length;
}

/** The issue that all entry hosts hold; undefined while they hold different ones or none. */
function commonIssue(): number | undefined {
  const held = new Set([...issues.values()].map((taken) => taken.at(-1)));
  return held.size === 1 ? [...held][0] : undefined;
}

test.before(async (t) => {
  t.timeout(120_000);
  dataFolder = await mkdtemp(join(tmpdir(), 'plan-'));
  running = new Map();
  servers = [];
  reports = [];
  issues = new Map(entryHostIds.map((hostId) => [hostId, []]));
  await startAll();
  await timeUntil(() => leader() !== undefined);
  (await leading().parts.routingCommands?.replace(routedDocument(1)))?._unsafeUnwrap();
  for (const zone of zones) await addBackend(zone);
  await timeUntil(() => entryHostIds.every(knowsBackends));
});

test.after.always(async () => {
  for (const host of running.values()) await host.stop();
  for (const server of servers) {
    server.closeAllConnections();
    server.close();
  }
  await rm(dataFolder, { recursive: true });
});

test.serial('after some calls, all entry hosts hold the same issue of the plan', async (t) => {
  for (const hostId of entryHostIds) t.is(await countAnswered(hostId, 20), 20);
  t.not(await timeUntil(() => commonIssue() !== undefined), Infinity);
  for (const taken of issues.values()) {
    t.deepEqual(
      taken,
      [...taken].sort((left, right) => left - right),
    );
  }
});

test.serial(
  'after the leader has gone, all entry hosts take over a newer issue of the next one',
  async (t) => {
    await timeUntil(() => commonIssue() !== undefined);
    const before = commonIssue() ?? Infinity;
    const former = leading();
    running.delete(former.context.settings.hostId);
    await former.stop();
    t.not(await timeUntil(() => leader() !== undefined), Infinity);
    const lost = reports.find(({ availabilityZone }) => availabilityZone === 'west-a');
    if (lost === undefined) throw new Error('the backend server is missing');
    const removed = await leading().parts.removeBackend(lost.backendId, lost.bornAtMs);
    t.true(removed.isOk());
    t.not(await timeUntil(() => (commonIssue() ?? 0) > before), Infinity);
    for (const hostId of entryHostIds) t.is(await countAnswered(hostId, 20), 20);
  },
);
