import { mkdtemp, rm } from 'node:fs/promises';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Server as NetServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import { routedFeatures } from '@buckthornlug/host/features.js';
import { startHost, type RunningHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import type { BackendReport } from '@buckthornlug/protocol/registry/registrySchema.js';
import type { RoutingDocument } from '@buckthornlug/protocol/routing/routingSchema.js';
import {
  routingSettingsSchema,
  type Settings,
} from '@buckthornlug/protocol/settings/settingsSchema.js';
import { request } from 'undici';

import { createFleetSettings } from '../fakes/hostSettings.js';
import { timeUntil } from '../time/timeUntil.js';

/** A backend server that registers, with what it was asked. */
export interface RegisteredFake {
  readonly report: BackendReport;
  readonly requests: IncomingMessage['headers'][];
  /** IDs of the requests whose connection closed before the answer was complete. */
  readonly cancelled: string[];
  readonly server: Server;
}

/** Answer of a fake backend server. */
export interface FakeAnswer {
  readonly status: number;
  readonly notRun?: boolean;
  /** Further header fields. */
  readonly fields?: Readonly<Record<string, string>>;
  /** Time that the answer takes. */
  readonly delayMs?: number;
  /** Size of the body, which is sent in parts over half a second; the ID of the backend if absent. */
  readonly bodyBytes?: number;
}

/** A control host, an entry host and backend servers on loopback addresses. */
export interface RoutedFleet {
  control: RunningHost;
  entry: RunningHost;
  /** Stops both hosts and starts them again with the same settings and disk. */
  readonly restart: () => Promise<void>;
  /** Starts a backend server and registers it. */
  readonly addBackend: (
    backendId: string,
    answer: (request: IncomingMessage) => FakeAnswer,
  ) => Promise<RegisteredFake>;
  /** Sends a call to the entry host. */
  readonly call: (
    path: string,
    fields?: Record<string, string>,
    method?: 'GET' | 'POST',
  ) => Promise<{ readonly status: number; readonly body: string; readonly retryAfter?: string }>;
  readonly stop: () => Promise<void>;
}

/**
 * A routing document with one service and two routes.
 *
 * @param version - version of the document
 */
export function routedDocument(version: number): RoutingDocument {
  const route = {
    hostName: 'one.example',
    targets: [{ service: 'desk', weight: 1 }],
    timeLimitMs: 2000,
    targetMs: 500,
    rank: 0,
    maxAttempts: 2,
    hasAffinity: true,
    homeRegions: [],
  };
  return {
    version,
    routes: [
      { ...route, routeId: 'reads', pathPrefix: '/reads/', execution: 'idempotent' },
      { ...route, routeId: 'orders', pathPrefix: '/orders/', execution: 'single' },
    ],
    services: [
      {
        service: 'desk',
        healthPath: '/health',
        connectionLimit: 10,
        coldStartMs: 0,
        coldCallsPerS: 10,
      },
    ],
    limits: {
      maxHeadBytes: 16_384,
      maxBodyBytes: 65_536,
      headTimeoutMs: 3000,
      idleTimeoutMs: 5000,
    },
    source: `version ${version}`,
  };
}

function sendInParts(response: ServerResponse, bodyBytes: number): void {
  const parts = 10;
  const partMs = 50;
  let sentParts = 0;
  const timer = setInterval(() => {
    response.write('x'.repeat(bodyBytes / parts));
    sentParts += 1;
    if (sentParts < parts) return;
    clearInterval(timer);
    response.end();
  }, partMs);
}

/** First report of a backend server that listens at an address. */
export function firstReport(backendId: string, { address, port }: AddressInfo): BackendReport {
  return {
    backendId,
    bornAtMs: Date.now(),
    sequence: 1,
    service: 'desk',
    availabilityZone: 'north-a',
    endpoint: { address, port },
    slots: 2,
    state: 'ready',
    coldForMs: 0,
  };
}

/** Waits until a condition holds; throws where it does not in time. */
async function eventually(what: string, holds: () => boolean): Promise<void> {
  if ((await timeUntil(holds)) === Infinity) throw new Error(`${what}: not in time`);
}

function createSettings(dataFolder: string): readonly Settings[] {
  const place = { region: 'north', availabilityZone: 'north-a' };
  const [controlSettings, entrySettings] = createFleetSettings(
    [
      { hostId: 'c1', ...place, roles: ['control'] },
      { hostId: 'e1', ...place },
    ],
    { dataFolder, groups: [{ id: 'control', members: ['c1'], admitsControlHosts: true }] },
  );
  const routing = routingSettingsSchema.parse({
    regionOfZone: { 'north-a': 'north' },
    // The backend servers of the fleet report once.
    reportIntervalMs: 60_000,
  });
  if (controlSettings === undefined || entrySettings === undefined) {
    throw new Error('settings of a host are missing');
  }
  return [
    { ...controlSettings, routing },
    { ...entrySettings, routing },
  ];
}

async function startAll(
  dataFolder: string,
  allSettings = createSettings(dataFolder),
): Promise<readonly RunningHost[]> {
  const hosts: RunningHost[] = [];
  for (const settings of allSettings) {
    const started = await startHost(settings, { features: routedFeatures });
    hosts.push(started._unsafeUnwrap());
  }
  return hosts;
}

/**
 * Starts the fleet and puts a routing document in force.
 *
 * @param timing - times that differ from the defaults
 */
export async function startRoutedFleet(
  timing: Partial<Settings['timing']> = {},
): Promise<RoutedFleet> {
  const dataFolder = await mkdtemp(join(tmpdir(), 'routed-'));
  const allSettings = createSettings(dataFolder).map((settings) => ({
    ...settings,
    timing: { ...settings.timing, ...timing },
  }));
  const [control, entry] = await startAll(dataFolder, allSettings);
  if (control === undefined || entry === undefined) throw new Error('a host is missing');
  const servers: Server[] = [];
  const { parts } = control;
  await eventually('a leader', () => parts.control?.isLeader() ?? false);
  (await parts.routingCommands?.replace(routedDocument(1)))?._unsafeUnwrap();
  await eventually('the document on the entry host', () => entry.parts.isReady());
  const { callers } = entry.context.settings.listen;

  const fleet: RoutedFleet = {
    control,
    entry,
    restart: async () => {
      await fleet.entry.stop();
      await fleet.control.stop();
      const [startedControl, startedEntry] = await startAll(dataFolder, [
        fleet.control.context.settings,
        fleet.entry.context.settings,
      ]);
      if (startedControl === undefined || startedEntry === undefined) {
        throw new Error('a host is missing');
      }
      fleet.control = startedControl;
      fleet.entry = startedEntry;
      await eventually('the document on the entry host', () => startedEntry.parts.isReady());
    },
    addBackend: async (backendId, answer) => {
      const requests: IncomingMessage['headers'][] = [];
      const cancelled: string[] = [];
      const server = createServer((incoming, response) => {
        requests.push(incoming.headers);
        const { status, notRun, fields: answerFields, delayMs, bodyBytes } = answer(incoming);
        const requestId = String(incoming.headers['x-request-id']);
        const fields = { 'x-request-id': requestId, ...answerFields };
        response.once('close', () => {
          if (!response.writableFinished) cancelled.push(requestId);
        });
        setTimeout(() => {
          response.writeHead(status, notRun === true ? { ...fields, 'x-not-run': '1' } : fields);
          if (bodyBytes === undefined) response.end(backendId);
          else sendInParts(response, bodyBytes);
        }, delayMs ?? 0);
      });
      servers.push(server);
      await new Promise<void>((resolve) => {
        server.listen(0, callers.address, resolve);
      });
      const report = firstReport(backendId, server.address() as AddressInfo);
      (await fleet.control.parts.reportBackend(report))._unsafeUnwrap();
      return { report, requests, cancelled, server };
    },
    call: async (path, fields = {}, method = 'GET') => {
      const answer = await request(`http://${callers.address}:${callers.port}${path}`, {
        method,
        headers: { host: 'one.example', 'x-request-id': 'a-1', ...fields },
      });
      const retryAfter = answer.headers['retry-after'];
      const body = await answer.body.text();
      return {
        status: answer.statusCode,
        body,
        ...(typeof retryAfter === 'string' ? { retryAfter } : {}),
      };
    },
    stop: async () => {
      await fleet.entry.stop();
      await fleet.control.stop();
      for (const server of servers) {
        server.closeAllConnections();
        server.close();
      }
      await rm(dataFolder, { recursive: true });
    },
  };
  return fleet;
}

/** Time within which a registered backend server gets calls. */
const registrationMs = 500;

/**
 * Registers a server of the test's own as a backend server.
 *
 * @param server - server that writes its answers as bytes, and does not listen yet
 */
export async function registerServer(fleet: RoutedFleet, server: NetServer): Promise<void> {
  const { address } = fleet.entry.context.settings.listen.callers;
  await new Promise<void>((resolve) => {
    server.listen(0, address, resolve);
  });
  const report = firstReport('b-1', server.address() as AddressInfo);
  (await fleet.control.parts.reportBackend(report))._unsafeUnwrap();
  await delay(registrationMs);
}
