import { setTimeout as delay } from 'node:timers/promises';

import { callsFeature } from '@buckthornlug/host/calls/callsFeature.js';
import type { Feature } from '@buckthornlug/host/runtime/hostParts.js';
import { startHost, type RunningHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import type { DocumentInForce } from '@buckthornlug/host/runtime/hostTypes.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';
import { Agent, request, type Dispatcher } from 'undici';

import { startFakeBackend, type FakeBackend } from '../fakes/fakeBackend.js';
import {
  createFleetSettings,
  testAnnounceKey,
  type FleetHost,
  type FleetOverrides,
} from '../fakes/hostSettings.js';
import { loopbackAddress } from '../fakes/loopback.js';
import { valueOf } from '../fakes/results.js';
import { testHostName, testService } from '../fakes/testDocument.js';
import { turnPlacement } from '../fakes/turnPlacement.js';

const backendPort = 7100;
const firstBackendNumber = 100;

/** Options of a call in a test. */
export interface TestCall {
  readonly method?: Dispatcher.HttpMethod;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  readonly signal?: AbortSignal;
}

/** What a caller got. */
export interface TestReply {
  /** `answered`, the code of a refusal, or `broken` where the answer was cut off. */
  readonly result: string;
  readonly status: number;
  readonly execution: string | undefined;
  readonly body: string;
}

/** Hosts and fake backend servers of one test file. */
export interface CallFleet {
  readonly settings: readonly Settings[];
  readonly hosts: readonly RunningHost[];
  readonly backends: readonly FakeBackend[];
  /** Sends a call to the host at an index. */
  readonly call: (host: number, path: string, options?: TestCall) => Promise<TestReply>;
  readonly stop: () => Promise<void>;
}

/** What a test file starts. */
export interface CallFleetOptions {
  readonly hosts: readonly FleetHost[];
  readonly overrides?: FleetOverrides;
  /** Document that is in force from the start; none where it is submitted later. */
  readonly document?: DocumentInForce;
  /** Index of the host that each backend server announces to. */
  readonly backendHosts: readonly number[];
  /** Slots of each backend server. */
  readonly slots?: number;
  /** Mean service time of each backend server. */
  readonly meanMs?: number;
  /** Features of the hosts; the path alone where absent. */
  readonly features?: readonly Feature[];
}

async function readReply(reply: Dispatcher.ResponseData): Promise<TestReply> {
  const status = reply.statusCode;
  const code = reply.headers['x-buckthornlug-code'];
  const execution = reply.headers['x-buckthornlug-execution'];
  const shared = { status, execution: typeof execution === 'string' ? execution : undefined };
  try {
    const body = await reply.body.text();
    return { ...shared, body, result: typeof code === 'string' ? code : 'answered' };
  } catch {
    return { ...shared, body: '', result: 'broken' };
  }
}

/**
 * Starts hosts in this process whose features are the path alone, with backend servers that have announced themselves.
 *
 * @param options - what to start
 */
export async function startCallFleet(options: CallFleetOptions): Promise<CallFleet> {
  const settings = createFleetSettings(options.hosts, options.overrides);
  const agent = new Agent({ connections: 64 });
  const hosts: RunningHost[] = [];
  const inForce = options.document === undefined ? {} : { document: options.document };
  const features = options.features ?? [turnPlacement, callsFeature];
  for (const hostSettings of settings) {
    hosts.push(valueOf(await startHost(hostSettings, { features, ...inForce })));
  }
  const backends = await Promise.all(
    options.backendHosts.map((hostIndex, index) =>
      startFakeBackend({
        backendId: `backend-${index + 1}`,
        service: testService,
        availabilityZone: settings[hostIndex]!.availabilityZone,
        endpoint: { address: loopbackAddress(firstBackendNumber + index), port: backendPort },
        hosts: [settings[hostIndex]!.listen.callers],
        announceKey: testAnnounceKey,
        meanMs: options.meanMs ?? 1,
        slots: options.slots ?? 3,
        seed: index + 1,
      }),
    ),
  );
  await Promise.all(backends.map((backend) => backend.whenAnnounced()));
  return {
    settings,
    hosts,
    backends,
    call: async (host, path, callOptions = {}) => {
      const { address, port } = settings[host]!.listen.callers;
      const { headers, ...rest } = callOptions;
      const reply = await request(`http://${address}:${port}${path}`, {
        ...rest,
        dispatcher: agent,
        headers: { host: testHostName, ...headers },
      });
      return readReply(reply);
    },
    stop: async () => {
      await Promise.all(backends.map((backend) => backend.kill()));
      await agent.destroy();
      await Promise.all(hosts.map((host) => host.stop()));
    },
  };
}

/**
 * Waits until a condition holds; throws after the time given.
 *
 * @param condition - condition to wait for
 * @param timeoutMs - longest wait
 */
export async function until(condition: () => boolean, timeoutMs = 5000): Promise<void> {
  const startedAtMs = performance.now();
  while (!condition()) {
    if (performance.now() - startedAtMs > timeoutMs) throw new Error('the condition never held');
    await delay(5);
  }
}
