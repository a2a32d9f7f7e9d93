import { setTimeout as delay } from 'node:timers/promises';

import { lookupPath } from '@buckthornlug/protocol/calls/callHeaders.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import { originOf } from '@buckthornlug/host/rpc/peerClients.js';
import { Agent, request } from 'undici';

import { createFleetSettings } from '../fakes/hostSettings.js';
import { loopbackAddress } from '../fakes/loopback.js';
import { createSeededRandom, exponential, type SeededRandom } from '../fakes/seededRandom.js';
import { createTestDocument, testService } from '../fakes/testDocument.js';
import { startBenchHost, type BenchHost } from './benchHost.js';
import { atMost, type BenchOptions, type BenchReport, type Experiment } from './benchTypes.js';

const lookupsPerS = 1700;
const clientBlocks = 100_000;
const callerAddresses = 16;
const maxCoreShare = 0.1;
const warmUpS = 2;
const zones = ['lagos-a', 'lagos-b', 'abuja-a'];

/** Blocks of 256 addresses from 10.0.0.0 on, and the loopback addresses that the bench uses. */
function createBlocks(): SteeringDocument['clientBlocks'] {
  const blocks = [{ block: '127.0.0.0/8', availabilityZone: 'lagos-b' }];
  for (let index = 0; blocks.length < clientBlocks; index += 1) {
    const first = 10 + Math.floor(index / 65_536);
    const block = `${first}.${Math.floor(index / 256) % 256}.${index % 256}.0/24`;
    blocks.push({ block, availabilityZone: zones[index % zones.length] ?? 'lagos-a' });
  }
  return { all: blocks };
}

/** Sends look-ups at the rate for a time; resolves to the number answered. */
async function sendLookups(
  agents: readonly Agent[],
  origin: string,
  random: SeededRandom,
  durationS: number,
  reset: boolean,
): Promise<number> {
  const url = `${origin}${lookupPath}?service=${testService}`;
  const startedAtMs = performance.now();
  let nextAtMs = startedAtMs;
  let answered = 0;
  const open = new Set<Promise<void>>();
  const lookUp = async (agent: Agent) => {
    const reply = await request(url, { dispatcher: agent, reset });
    await reply.body.text();
    if (reply.statusCode === 200) answered += 1;
  };
  while (nextAtMs < startedAtMs + durationS * 1000) {
    while (nextAtMs <= performance.now()) {
      const agent = agents[Math.floor(random() * agents.length)];
      if (agent === undefined) break;
      const lookup = lookUp(agent);
      open.add(lookup);
      lookup.then(() => open.delete(lookup)).catch(() => undefined);
      nextAtMs += exponential(random, 1000 / lookupsPerS);
    }
    await delay(1);
  }
  await Promise.all(open);
  return answered;
}

async function measureShare(
  options: BenchOptions,
  host: BenchHost,
  origin: string,
  reset: boolean,
) {
  const random = createSeededRandom(options.seed);
  const agents = Array.from(
    { length: callerAddresses },
    (_value, index) => new Agent({ connections: 16, localAddress: loopbackAddress(200 + index) }),
  );
  await sendLookups(agents, origin, random, warmUpS, reset);
  const cpuBeforeMs = await host.cpuMs();
  const startedAtMs = performance.now();
  const answered = await sendLookups(agents, origin, random, options.durationS, reset);
  const elapsedMs = performance.now() - startedAtMs;
  const cpuMs = (await host.cpuMs()) - cpuBeforeMs;
  await Promise.all(agents.map((agent) => agent.destroy()));
  return {
    lookupsPerS: (answered * 1000) / elapsedMs,
    coreShare: cpuMs / elapsedMs,
    cpuUsPerLookup: (cpuMs * 1000) / answered,
  };
}

async function run(options: BenchOptions): Promise<BenchReport> {
  const [settings] = createFleetSettings([
    { hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a' },
  ]);
  if (settings === undefined) throw new Error('no settings');
  const document = createTestDocument({ clientBlocks: createBlocks() });
  const host = await startBenchHost(settings, document);
  try {
    const origin = originOf(settings.listen.callers);
    const idleBeforeMs = await host.cpuMs();
    await delay(1000);
    const idleShare = ((await host.cpuMs()) - idleBeforeMs) / 1000;
    options.progress('look-ups over kept connections');
    const kept = await measureShare(options, host, origin, false);
    options.progress('look-ups over a new connection each');
    const fresh = await measureShare(options, host, origin, true);
    return {
      experiment: 'lookup',
      seed: options.seed,
      rows: [
        { condition: 'no look-ups', figures: { coreShare: idleShare } },
        { condition: 'kept connections', figures: kept },
        { condition: 'a new connection each', figures: fresh },
      ],
      bounds: [atMost('coreShare, kept connections', kept.coreShare, maxCoreShare)],
    };
  } finally {
    await host.stop();
  }
}

/** Processor time of look-ups at the rate of one host. */
export const lookup: Experiment = {
  name: 'lookup',
  describe: 'share of a core that 1,700 look-ups/s cost with 100,000 client blocks',
  run,
};
