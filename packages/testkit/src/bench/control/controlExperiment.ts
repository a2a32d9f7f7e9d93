import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';

import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import { build, type Histogram } from 'hdr-histogram-js';

import {
  blocksSubmission,
  createControlFleet,
  exampleDocument,
  firstSubmission,
  type ControlFleet,
} from '../../control/controlFleet.js';
import { startRelays, stopRelays, throughRelays } from '../../fakes/hostRelays.js';
import { loopbackNetwork } from '../../fakes/loopback.js';
import {
  atMost,
  type BenchOptions,
  type BenchReport,
  type Experiment,
  type ReportRow,
} from '../benchTypes.js';

import { measureIdleMembers } from './idleMembers.js';
import { measureLargeState } from './largeState.js';

/** Commit latency, recovery and the cost of control hosts. */

const roundTripsMs = [0, 7, 110];
const histories = [0, 300, 1000];
const recoveryBoundMs = 2000;
const recoveryBoundHistory = 1000;
const submittersWhileFilling = 8;
const usPerMs = 1000;
const msPerS = 1000;

interface BenchFleet {
  readonly fleet: ControlFleet;
  readonly document: SteeringDocument;
  readonly workFolder: string;
}

const createHistogram = () =>
  build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000_000 });

const quantileMs = (histogram: Histogram, percentile: number) =>
  histogram.getValueAtPercentile(percentile) / usPerMs;

async function submitOne(bench: BenchFleet, via: string, group: string): Promise<void> {
  const submission = blocksSubmission(bench.document, `bench-${group}`, 0, group);
  const { status, body } = await bench.fleet.ask(via, '/v1/submissions', submission);
  if (status !== 200) throw new Error(`${status} ${JSON.stringify(body)}`);
}

/** Submits one change after the other through the leader and times each. */
async function timeCommits(bench: BenchFleet, durationS: number): Promise<Histogram> {
  const histogram = createHistogram();
  const leader = await bench.fleet.leader();
  const untilMs = performance.now() + durationS * msPerS;
  for (let count = 0; performance.now() < untilMs; count += 1) {
    const startedAtMs = performance.now();
    await submitOne(bench, leader, `t${count % 200}-${Math.floor(count / 200)}`);
    histogram.recordValue(Math.max(1, Math.round((performance.now() - startedAtMs) * usPerMs)));
  }
  return histogram;
}

async function withFleet<Value>(
  offset: number,
  roundTripMs: number,
  measure: (bench: BenchFleet) => Promise<Value>,
): Promise<Value> {
  const workFolder = await mkdtemp(`${tmpdir()}/bl-bench-control-`);
  const network = loopbackNetwork(process.pid, offset);
  let relays: Awaited<ReturnType<typeof startRelays>> = new Map();
  const fleet = createControlFleet(network, workFolder, {}, (settings) =>
    roundTripMs === 0 ? settings : throughRelays(settings, network),
  );
  try {
    if (roundTripMs > 0) {
      relays = await startRelays(fleet.allSettings(), network);
      for (const relay of relays.values()) {
        relay.delay('forth', roundTripMs / 2);
        relay.delay('back', roundTripMs / 2);
      }
    }
    await fleet.start();
    const document = await exampleDocument();
    const leader = await fleet.leader();
    await fleet.ask(leader, '/v1/submissions', firstSubmission(document));
    return await measure({ fleet, document, workFolder });
  } finally {
    await fleet.kill();
    await stopRelays(relays);
    await rm(workFolder, { recursive: true });
  }
}

async function latencyRow(roundTripMs: number, durationS: number): Promise<ReportRow> {
  const histogram = await withFleet(roundTripMs, roundTripMs, (bench) =>
    timeCommits(bench, durationS),
  );
  return {
    condition: `commit, round trip ${roundTripMs} ms`,
    figures: {
      commits: histogram.totalCount,
      medianMs: quantileMs(histogram, 50),
      p90Ms: quantileMs(histogram, 90),
      p99Ms: quantileMs(histogram, 99),
      maxMs: histogram.maxValue / usPerMs,
    },
  };
}

async function fill(bench: BenchFleet, from: number, to: number): Promise<void> {
  const leader = await bench.fleet.leader();
  let next = from;
  const submitter = async () => {
    while (next < to) {
      next += 1;
      await submitOne(bench, leader, `h${next % 100}-${Math.floor(next / 100)}`);
    }
  };
  await Promise.all(Array.from({ length: submittersWhileFilling }, submitter));
}

/** Time from the start of the process to its first answer with the whole document. */
async function timeRecovery(bench: BenchFleet, hostIds: readonly string[]): Promise<number> {
  const { fleet } = bench;
  await fleet.kill(hostIds);
  const startedAtMs = performance.now();
  await fleet.start(hostIds);
  const [first = ''] = hostIds;
  while ((await fleet.ask(first, '/v1/document')).status !== 200);
  return performance.now() - startedAtMs;
}

async function recoveryRows(): Promise<ReportRow[]> {
  return withFleet(1, 0, async (bench) => {
    const rows: ReportRow[] = [];
    let filled = 0;
    for (const changes of histories) {
      await fill(bench, filled, changes);
      filled = changes;
      const leader = await bench.fleet.leader();
      const follower = bench.fleet.memberIds().find((hostId) => hostId !== leader) ?? '';
      const oneHostMs = await timeRecovery(bench, [follower]);
      const allHostsMs = await timeRecovery(bench, bench.fleet.hostIds());
      rows.push({
        condition: `recovery after ${changes} changes`,
        figures: { oneHostMs, allHostsMs },
      });
    }
    return rows;
  });
}

async function run(options: BenchOptions): Promise<BenchReport> {
  const rows: ReportRow[] = [];
  for (const roundTripMs of roundTripsMs) {
    options.progress(`commits at a round trip of ${roundTripMs} ms`);
    rows.push(await latencyRow(roundTripMs, options.durationS));
  }
  options.progress('recovery');
  const recovery = await recoveryRows();
  options.progress('idle');
  const idle = await withFleet(2, 0, ({ fleet }) => measureIdleMembers(fleet));
  options.progress('a state of full size');
  const large = await measureLargeState(recoveryBoundHistory, options.seed);
  rows.push(...recovery, large, ...idle.rows);
  const longest = recovery[histories.indexOf(recoveryBoundHistory)]?.figures.oneHostMs;
  return {
    experiment: 'control',
    seed: options.seed,
    rows,
    bounds: [
      atMost('recovery after 1,000 changes, ms', Number(longest), recoveryBoundMs),
      atMost(
        'restart of a replica of full size, ms',
        Number(large.figures.startMs),
        recoveryBoundMs,
      ),
      ...idle.bounds,
    ],
  };
}

/** Commit latency by round trip, recovery by history, and the cost of idle members. */
export const controlExperiment: Experiment = {
  name: 'control',
  describe: 'commit latency at 0, 7 and 110 ms, recovery by history, cost of idle members',
  run,
};
