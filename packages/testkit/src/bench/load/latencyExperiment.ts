import { setTimeout as delay } from 'node:timers/promises';

import { atLeast, atMost } from '../benchTypes.js';
import type {
  ReportBound,
  ReportRow,
  BenchOptions,
  BenchReport,
  Experiment,
} from '../benchTypes.js';
import { atLoad, offcutMates, trekpole, type LoadDeployment } from './loadDeployments.js';
import { startLoadFleet, type FleetPlan } from './loadFleet.js';
import {
  heldShare,
  kindRows,
  meanSlotMs,
  overloadFigures,
  worstInsideShare,
} from './loadReport.js';
import { offerLoad } from './loadRun.js';

/** Latency and headroom of the deployments on real sockets. */

const settleMs = 4500;
const warmUpMs = 2000;
const msPerS = 1000;
const loadProcesses = 2;
const hosts = 'buckthornlug' as const;
/** Size that one machine bears together with its sources of load. */
const oneRegion = { regions: 1 };

/** What is measured on one deployment. */
export interface LoadSeries {
  readonly deployment: LoadDeployment;
  readonly hosts: FleetPlan['hosts'];
  readonly loads: readonly number[];
  readonly regions?: number;
}

/** A measured load. */
interface MeasuredLoad {
  readonly load: number;
  readonly rows: readonly ReportRow[];
  readonly worstShare: number;
  readonly shed: number;
}

/** Measures a deployment at several loads, one after the other. */
export async function measureLoads(
  series: LoadSeries,
  options: BenchOptions,
): Promise<MeasuredLoad[]> {
  const { deployment, regions } = series;
  const size = regions === undefined ? deployment.fleet : { ...deployment.fleet, regions };
  const fleet = await startLoadFleet({ ...size, hosts: series.hosts, seed: options.seed });
  const measured: MeasuredLoad[] = [];
  try {
    await delay(settleMs);
    let shedBefore = 0;
    for (const load of series.loads) {
      options.progress(`${deployment.name}, ${series.hosts}, load ${load}`);
      const slotTimesBefore = await fleet.slotTimes();
      const results = await offerLoad(fleet, {
        seed: options.seed,
        shares: atLoad(deployment.shares, load),
        warmUpMs,
        durationMs: warmUpMs + options.durationS * msPerS,
        processes: loadProcesses,
        looksUp: series.hosts === 'buckthornlug',
      });
      const { shed } = await overloadFigures(fleet);
      const slotMs = meanSlotMs(slotTimesBefore, await fleet.slotTimes());
      const condition = `${deployment.name} ${series.hosts} ${load}`;
      const rows = kindRows(condition, results);
      rows.push({ condition, figures: { shed: shed - shedBefore, meanSlotMs: slotMs } });
      measured.push({ load, rows, worstShare: worstInsideShare(results), shed: shed - shedBefore });
      shedBefore = shed;
    }
  } finally {
    await fleet.close();
  }
  return measured;
}

async function runLatency(
  deployments: readonly LoadDeployment[],
  options: BenchOptions,
  size: Pick<LoadSeries, 'regions'> = {},
): Promise<BenchReport> {
  const rows: ReportRow[] = [];
  const bounds: ReportBound[] = [];
  for (const deployment of deployments) {
    const series = { ...size, deployment, hosts, loads: [0.3, 0.6, 0.9] };
    for (const measured of await measureLoads(series, options)) {
      rows.push(...measured.rows);
      bounds.push(atMost(`${deployment.name} ${measured.load} shed calls`, measured.shed, 0));
    }
  }
  return { experiment: 'latency', seed: options.seed, rows, bounds };
}

const headroomLoads = [0.8, 0.85, 0.9, 0.95];
const headroomBound = 0.9;

async function runHeadroom(
  deployments: readonly LoadDeployment[],
  options: BenchOptions,
  size: Pick<LoadSeries, 'regions'> = {},
): Promise<BenchReport> {
  const rows: ReportRow[] = [];
  const bounds: ReportBound[] = [];
  for (const deployment of deployments) {
    const series = { ...size, deployment, hosts, loads: headroomLoads };
    let headroom = 0;
    for (const measured of await measureLoads(series, options)) {
      rows.push(...measured.rows);
      if (measured.worstShare >= heldShare) headroom = Math.max(headroom, measured.load);
    }
    bounds.push(
      atLeast(`${deployment.name} highest load with all targets`, headroom, headroomBound),
    );
  }
  return { experiment: 'headroom', seed: options.seed, rows, bounds };
}

const comparedLoads = [0.6, 0.9];

async function runSlots(options: BenchOptions): Promise<BenchReport> {
  const rows: ReportRow[] = [];
  for (const policy of ['buckthornlug', 'twoChoices', 'roundRobin'] as const) {
    const series = { deployment: trekpole, hosts: policy, loads: comparedLoads, regions: 1 };
    for (const measured of await measureLoads(series, options)) rows.push(...measured.rows);
  }
  return { experiment: 'slots', seed: options.seed, rows, bounds: [] };
}

const bothDeployments = [trekpole, offcutMates];

/** Latency of both deployments, and of each alone. */
export const latencyExperiments: readonly Experiment[] = [
  {
    name: 'latency',
    describe: 'Latency by kind of work at 30, 60 and 90% load, both deployments.',
    run: (options) => runLatency(bothDeployments, options),
  },
  ...bothDeployments.map((deployment) => ({
    name: `latency-${deployment.name}`,
    describe: `Latency by kind of work of ${deployment.name}.`,
    run: (options: BenchOptions) => runLatency([deployment], options),
  })),
  ...bothDeployments.map((deployment) => ({
    name: `latency-${deployment.name}-region`,
    describe: `Latency by kind of work of the first region of ${deployment.name}.`,
    run: (options: BenchOptions) => runLatency([deployment], options, oneRegion),
  })),
];

/** Headroom of both deployments, and of each alone. */
export const headroomExperiments: readonly Experiment[] = [
  {
    name: 'headroom',
    describe: 'Highest load at which 99% of each kind of work are inside their target.',
    run: (options) => runHeadroom(bothDeployments, options),
  },
  ...bothDeployments.map((deployment) => ({
    name: `headroom-${deployment.name}`,
    describe: `Headroom of ${deployment.name}.`,
    run: (options: BenchOptions) => runHeadroom([deployment], options),
  })),
  ...bothDeployments.map((deployment) => ({
    name: `headroom-${deployment.name}-region`,
    describe: `Headroom of the first region of ${deployment.name}.`,
    run: (options: BenchOptions) => runHeadroom([deployment], options, oneRegion),
  })),
];

export const slotsExperiment: Experiment = {
  name: 'slots',
  describe: 'Slot leases against two choices on reported load and against turns, one region.',
  run: runSlots,
};
