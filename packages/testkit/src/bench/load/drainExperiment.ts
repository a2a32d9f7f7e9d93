import { setTimeout as delay } from 'node:timers/promises';

import { atMost, type BenchOptions, type BenchReport, type Experiment } from '../benchTypes.js';
import { atLoad, trekpole } from './loadDeployments.js';
import { startLoadFleet, type LoadFleet } from './loadFleet.js';
import { offerLoad, summarize } from './loadRun.js';

/** A backend server leaves under load. */

const load = 0.6;
const settleMs = 4500;
const warmUpMs = 1000;
const msPerS = 1000;
const pollMs = 20;
const watchMs = 4000;
const lastNewCallBoundMs = 2000;

interface DrainResult {
  readonly lastNewCallMs: number;
  readonly emptyMs: number;
  readonly cancelled: number;
}

/** Lets a backend server leave and watches what still comes to it. */
async function watchDrain(fleet: LoadFleet, zone: string, backendId: string): Promise<DrainResult> {
  const fakes = fleet.fakesOf(zone);
  const read = async () => {
    const reply = await fakes.ask({ message: 'counts' });
    if (reply.message !== 'counts') throw new Error('no counts');
    const report = reply.fakes.find((fake) => fake.backendId === backendId);
    if (report === undefined) throw new Error(`no backend server ${backendId}`);
    return report.counts;
  };
  const before = await read();
  const startMs = performance.now();
  await fakes.ask({ message: 'setState', backendId, state: 'leaving' });
  let { received } = before;
  let lastNewCallMs = 0;
  let emptyMs = 0;
  for (let elapsedMs = 0; elapsedMs < watchMs; elapsedMs = performance.now() - startMs) {
    const counts = await read();
    if (counts.received > received) lastNewCallMs = elapsedMs;
    if (counts.inFlight > 0) emptyMs = elapsedMs;
    received = counts.received;
    await delay(pollMs);
  }
  const after = await read();
  return { lastNewCallMs, emptyMs, cancelled: after.cancelled - before.cancelled };
}

async function runDrain(options: BenchOptions): Promise<BenchReport> {
  const { seed } = options;
  const fleet = await startLoadFleet({
    ...trekpole.fleet,
    regions: 1,
    hosts: 'buckthornlug',
    seed,
  });
  const [zone = ''] = fleet.zones;
  const durationMs = warmUpMs + Math.max(options.durationS * msPerS, watchMs * 2);
  try {
    await delay(settleMs);
    const offered = offerLoad(fleet, {
      seed,
      shares: atLoad(trekpole.shares, load),
      warmUpMs,
      durationMs,
      processes: 1,
      looksUp: true,
    });
    await delay(warmUpMs * 3);
    const drain = await watchDrain(fleet, zone, `parts-desk-${zone}-0`);
    const summary = summarize(await offered);
    const figures = { ...drain, broken: summary.broken, offered: summary.offered };
    return {
      experiment: 'drain',
      seed,
      rows: [{ condition: `one of four leaves at ${load}`, figures }],
      bounds: [
        atMost('time to the last new call, ms', drain.lastNewCallMs, lastNewCallBoundMs),
        atMost('calls cut', drain.cancelled + summary.broken, 0),
      ],
    };
  } finally {
    await fleet.close();
  }
}

export const drainExperiment: Experiment = {
  name: 'drain',
  describe: 'Time to the last new call and to empty of a leaving backend server, and calls cut.',
  run: runDrain,
};
