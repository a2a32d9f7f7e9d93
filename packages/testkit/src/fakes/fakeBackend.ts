import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import type { Announcement } from '@buckthornlug/protocol/announce/announceSchema.js';
import { requestIdHeader } from '@buckthornlug/protocol/calls/callHeaders.js';

import { startAnnouncer, type Announcer } from './announcer.js';
import { answerWithFault } from './backendAnswers.js';
import {
  behaviourSchema,
  fakeBackendOptionsSchema,
  type BackendCounts,
  type Behaviour,
  type Execution,
  type FakeBackendOptions,
} from './fakeBackendTypes.js';
import { createLogNormal, createSeededRandom } from './seededRandom.js';

/** Time after which a leaving backend server gets no new work. */
const leaveGraceMs = 2000;
const keepAliveTimeoutMs = 30_000;
const fakePathPrefix = '/.fake/';

/** A fake backend server. */
export interface FakeBackend {
  readonly backendId: string;
  readonly counts: () => BackendCounts;
  /** Executions started for each identity. */
  readonly executions: () => ReadonlyMap<string, number>;
  readonly executionLog: () => readonly Execution[];
  /** Changes what it does wrong; fields that are absent keep their value. */
  readonly behave: (change: Partial<Behaviour>) => void;
  readonly setState: (state: Announcement['state']) => Promise<boolean>;
  readonly announceNow: () => Promise<boolean>;
  /** Resolves when a host has taken its announcement. */
  readonly whenAnnounced: () => Promise<void>;
  /** Ends at once, as a process that dies. */
  readonly kill: () => Promise<void>;
  /** Says that it leaves, ends the calls in flight, then stops. */
  readonly leave: () => Promise<void>;
}

function emptyCounts(): BackendCounts {
  return {
    received: 0,
    completed: 0,
    shed: 0,
    lateNew: 0,
    cancelled: 0,
    damaged: 0,
    inFlight: 0,
    mostInFlight: 0,
    connections: 0,
    mostConnections: 0,
    announcements: 0,
    announcementsFailed: 0,
  };
}

/** Reads a body to its end; resolves to its size, also where it broke off. */
async function receiveBody(request: IncomingMessage): Promise<number> {
  let bodyBytes = 0;
  try {
    for await (const chunk of request) bodyBytes += (chunk as Buffer).length;
  } catch {
    request.destroy();
  }
  return bodyBytes;
}

/** Sleeps, but not beyond the end of the connection: a cancelled call gives its slot back. */
function sleepUnlessClosed(response: ServerResponse, timeMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, timeMs);
    response.once('close', () => {
      clearTimeout(timer);
      resolve();
    });
  });
}

/**
 * Starts a fake backend server in this process.
 *
 * @param given - settings; see the schema for the defaults
 */
export async function startFakeBackend(given: FakeBackendOptions): Promise<FakeBackend> {
  const options = fakeBackendOptionsSchema.parse(given);
  const random = createSeededRandom(options.seed);
  const serviceTimeMs = createLogNormal(Math.max(options.meanMs, 0.001), options.p99OfMean);
  const counts = emptyCounts();
  const executions = new Map<string, number>();
  const executionLog: Execution[] = [];
  let behaviour = behaviourSchema.parse({});
  let state: Announcement['state'] = 'ready';
  let leavingSinceMs: number | undefined;
  const waiters = new Set<() => void>();

  const noteExecution = (request: IncomingMessage) => {
    const identity = request.headers[options.identityHeader] ?? request.headers[requestIdHeader];
    if (typeof identity !== 'string') return;
    executions.set(identity, (executions.get(identity) ?? 0) + 1);
    executionLog.push({ identity, atMs: performance.now() });
  };

  const shed = (response: ServerResponse) => {
    counts.shed += 1;
    response.writeHead(options.shedStatus, { 'content-length': 0 }).end();
  };

  const run = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    counts.received += 1;
    const leftMs = leavingSinceMs === undefined ? 0 : performance.now() - leavingSinceMs;
    if (leftMs > leaveGraceMs) counts.lateNew += 1;
    if (counts.inFlight >= options.slots || behaviour.shedsAll) {
      request.resume();
      shed(response);
      return;
    }
    counts.inFlight += 1;
    counts.mostInFlight = Math.max(counts.mostInFlight, counts.inFlight);
    noteExecution(request);
    const fault = random() < behaviour.faultShare ? behaviour.answerFault : 'none';
    try {
      const bodyBytes = await receiveBody(request);
      const workMs = options.meanMs === 0 ? 0 : serviceTimeMs(random);
      const lateMs = fault === 'isLate' ? behaviour.lateMs : 0;
      if (workMs + lateMs > 0) await sleepUnlessClosed(response, workMs + lateMs);
      if (response.destroyed) {
        counts.cancelled += 1;
        return;
      }
      if (fault !== 'none' && fault !== 'isLate') counts.damaged += 1;
      else counts.completed += 1;
      await answerWithFault(request, response, fault, {
        backendId: options.backendId,
        answerBytes: behaviour.answerBytes,
        bodyBytes,
      });
    } finally {
      counts.inFlight -= 1;
    }
  };

  const answerFakePath = (request: IncomingMessage, response: ServerResponse) => {
    const status = behaviour.saysReady ? 200 : 503;
    const content = request.url?.endsWith('/counts')
      ? { counts, executions: Object.fromEntries(executions) }
      : { state, inFlight: behaviour.statedInFlight ?? counts.inFlight };
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(content));
  };

  const server = createServer((request, response) => {
    if (request.url?.startsWith(fakePathPrefix)) {
      answerFakePath(request, response);
      return;
    }
    run(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = keepAliveTimeoutMs;
  server.on('connection', (socket) => {
    counts.connections += 1;
    counts.mostConnections = Math.max(counts.mostConnections, counts.connections);
    socket.once('close', () => {
      counts.connections -= 1;
    });
  });

  const describe = () => {
    if (!behaviour.announces) return undefined;
    return {
      backendId: options.backendId,
      service: options.service,
      availabilityZone: options.availabilityZone,
      endpoint: options.endpoint,
      slots: behaviour.statedSlots ?? options.slots,
      connectionLimit: options.connectionLimit,
      state,
      inFlight: behaviour.statedInFlight ?? counts.inFlight,
    };
  };

  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.endpoint.port, options.endpoint.address, () => resolve());
  });
  const announcer: Announcer = startAnnouncer({
    hosts: options.hosts,
    key: options.announceKey,
    describe,
    renewMs: options.renewMs,
    onResult: (isOk) => {
      counts.announcements += 1;
      if (!isOk) {
        counts.announcementsFailed += 1;
        return;
      }
      for (const resume of waiters) resume();
      waiters.clear();
    },
  });

  const close = async () => {
    await announcer.stop();
    const closed = new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
    server.closeAllConnections();
    await closed;
  };

  return {
    backendId: options.backendId,
    counts: () => ({ ...counts }),
    executions: () => executions,
    executionLog: () => executionLog,
    behave: (change) => {
      behaviour = { ...behaviour, ...change };
    },
    setState: async (next) => {
      state = next;
      const isGoing = next === 'leaving' || next === 'draining';
      leavingSinceMs = isGoing ? (leavingSinceMs ?? performance.now()) : undefined;
      return announcer.announceNow();
    },
    announceNow: announcer.announceNow,
    whenAnnounced: () =>
      new Promise((resolve) => {
        if (announcer.lastReply() === undefined) waiters.add(resolve);
        else resolve();
      }),
    kill: close,
    leave: async () => {
      state = 'leaving';
      leavingSinceMs = performance.now();
      await announcer.announceNow();
      while (counts.inFlight > 0 || performance.now() - leavingSinceMs < leaveGraceMs) {
        await delay(10);
      }
      await close();
    },
  };
}
