import { setTimeout as delay } from 'node:timers/promises';

import { originOf } from '@buckthornlug/host/rpc/peerClients.js';
import { build, type Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';

import { createFleetSettings, testAnnounceKey } from '../fakes/hostSettings.js';
import { loopbackAddress } from '../fakes/loopback.js';
import { createSeededRandom, exponential } from '../fakes/seededRandom.js';
import { createTestDocument, testHostName, testService } from '../fakes/testDocument.js';
import { startBackendProcess, startBenchHost } from './benchHost.js';
import { atMost, type BenchOptions, type BenchReport, type Experiment } from './benchTypes.js';

const callsPerS = 100;
const warmUpCalls = 500;
const slots = 32;
const backendPort = 7100;
const usPerMs = 1000;
const maxAddedMedianMs = 1;
const maxAddedP99Ms = 3;

const createHistogram = () =>
  build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });

/** Sends one call and records its time. */
async function timeCall(agent: Agent, origin: string, histogram: Histogram): Promise<void> {
  const startedAtMs = performance.now();
  const reply = await request(`${origin}/catalogue/poles`, {
    dispatcher: agent,
    headers: { host: testHostName },
  });
  await reply.body.text();
  if (reply.statusCode !== 200) throw new Error(`status ${reply.statusCode}`);
  histogram.recordValue(Math.max(1, Math.round((performance.now() - startedAtMs) * usPerMs)));
}

const quantileMs = (histogram: Histogram, percentile: number) =>
  histogram.getValueAtPercentile(percentile) / usPerMs;

function rowOf(condition: string, histogram: Histogram) {
  return {
    condition,
    figures: {
      calls: histogram.totalCount,
      medianMs: quantileMs(histogram, 50),
      p90Ms: quantileMs(histogram, 90),
      p99Ms: quantileMs(histogram, 99),
      maxMs: histogram.maxValue / usPerMs,
    },
  };
}

async function measure(options: BenchOptions, hostOrigin: string, backendOrigin: string) {
  const agent = new Agent({ connections: slots });
  const random = createSeededRandom(options.seed);
  const direct = createHistogram();
  const path = createHistogram();
  for (let call = 0; call < warmUpCalls; call += 1) {
    await timeCall(agent, backendOrigin, createHistogram());
    await timeCall(agent, hostOrigin, createHistogram());
  }
  const endsAtMs = performance.now() + options.durationS * 1000;
  const open = new Set<Promise<void>>();
  const start = (origin: string, histogram: Histogram) => {
    const call = timeCall(agent, origin, histogram);
    open.add(call);
    call.then(() => open.delete(call)).catch(() => undefined);
  };
  while (performance.now() < endsAtMs) {
    await delay(exponential(random, 1000 / (2 * callsPerS)));
    if (random() < 0.5) start(backendOrigin, direct);
    else start(hostOrigin, path);
  }
  await Promise.all(open);
  await agent.destroy();
  return { direct, path };
}

async function run(options: BenchOptions): Promise<BenchReport> {
  const [settings] = createFleetSettings([
    { hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a' },
  ]);
  if (settings === undefined) throw new Error('no settings');
  const host = await startBenchHost(settings, createTestDocument());
  const endpoint = { address: loopbackAddress(100), port: backendPort };
  const backend = await startBackendProcess({
    backendId: 'backend-1',
    service: testService,
    availabilityZone: 'lagos-a',
    endpoint,
    hosts: [settings.listen.callers],
    announceKey: testAnnounceKey,
    slots,
    meanMs: 0,
  });
  try {
    options.progress(`calls for ${options.durationS} s`);
    await delay(3 * settings.timing.announceRenewMs);
    const hostOrigin = originOf(settings.listen.callers);
    const { direct, path } = await measure(options, hostOrigin, originOf(endpoint));
    const addedMs = (percentile: number) =>
      quantileMs(path, percentile) - quantileMs(direct, percentile);
    return {
      experiment: 'call',
      seed: options.seed,
      rows: [rowOf('direct', direct), rowOf('through a host', path)],
      bounds: [
        atMost('addedMedianMs', addedMs(50), maxAddedMedianMs),
        atMost('addedP99Ms', addedMs(99), maxAddedP99Ms),
      ],
    };
  } finally {
    await backend.kill();
    await host.stop();
  }
}

/** Time that the path of a call adds to the same call made directly. */
export const callOverhead: Experiment = {
  name: 'call',
  describe: 'time that a host adds to a call made directly, in one run',
  run,
};
