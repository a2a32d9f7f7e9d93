import { atLeast, type BenchOptions, type BenchReport, type Experiment } from '../benchTypes.js';
import { heldShare } from './loadReport.js';
import { PoolSimulation, type RankResult } from './poolSimulation.js';

/** Headroom of the pools of both deployments on a virtual clock: the decisions without the machine. */

const meanServiceMs = 40;
const simulatedMsPerS = 12_000;
const warmUpMs = 5000;
const maxQueuedCalls = 4096;
const loads = [0.8, 0.85, 0.9, 0.95];
const headroomBound = 0.9;

/** A pool and the share of each rank in its calls. */
interface SimulatedPool {
  readonly name: string;
  readonly backends: number;
  readonly slotsPerBackend: number;
  readonly floorsPermille: readonly [number, number, number];
  readonly shares: readonly number[];
  /** Whether the bound applies; a zone that needs the slots of its region is shown without one. */
  readonly isBound: boolean;
}

const targetsMs = [250, 600, 3000];
const trekpoleFloors = [200, 250, 100] as const;
const offcutFloors = [250, 200, 100] as const;

const pools: readonly SimulatedPool[] = [
  {
    name: 'parts-desk, a zone',
    backends: 4,
    slotsPerBackend: 3,
    floorsPermille: trekpoleFloors,
    shares: [0.4, 0.4, 0.2],
    isBound: true,
  },
  {
    name: 'restock-ledger, a zone',
    backends: 2,
    slotsPerBackend: 3,
    floorsPermille: trekpoleFloors,
    shares: [0, 0.5, 0.5],
    isBound: true,
  },
  {
    name: 'yardboard, a zone',
    backends: 6,
    slotsPerBackend: 6,
    floorsPermille: offcutFloors,
    shares: [0, 0.4, 0.6],
    isBound: true,
  },
  {
    name: 'truckslot, a zone alone',
    backends: 2,
    slotsPerBackend: 3,
    floorsPermille: offcutFloors,
    shares: [0.5, 0.5, 0],
    isBound: false,
  },
  {
    name: 'truckslot, a region as one pool',
    backends: 4,
    slotsPerBackend: 3,
    floorsPermille: offcutFloors,
    shares: [0.5, 0.5, 0],
    isBound: true,
  },
];

function simulate(pool: SimulatedPool, load: number, options: BenchOptions): RankResult[] {
  const { backends, slotsPerBackend, floorsPermille, shares } = pool;
  const ranks = floorsPermille.map((floorPermille, rank) => ({
    targetMs: targetsMs[rank] ?? 0,
    floorPermille,
  }));
  const simulation = new PoolSimulation({
    seed: options.seed,
    backends,
    slotsPerBackend,
    rules: { ranks, serviceTimeMs: meanServiceMs, maxQueuedCalls },
    loads: shares
      .map((share, rank) => ({ rank, load: share * load }))
      .filter((entry) => entry.load > 0),
    durationMs: warmUpMs + options.durationS * simulatedMsPerS,
    warmUpMs,
  });
  return simulation.run().filter((result) => result.offered > 0);
}

const insideShare = (result: RankResult) => result.insideTarget / result.offered;

const percent = (share: number) => Number((share * 100).toFixed(2));

function run(options: BenchOptions): Promise<BenchReport> {
  const rows = [];
  const bounds = [];
  for (const pool of pools) {
    let headroom = 0;
    for (const load of loads) {
      const results = simulate(pool, load, options);
      for (const result of results) {
        rows.push({
          condition: `${pool.name}, load ${load}, rank ${result.rank}`,
          figures: {
            offered: result.offered,
            insidePercent: percent(insideShare(result)),
            refusedPercent: percent(result.refused / result.offered),
          },
        });
      }
      if (results.every((result) => insideShare(result) >= heldShare)) headroom = load;
    }
    if (!pool.isBound) continue;
    bounds.push(atLeast(`${pool.name}: highest load with all targets`, headroom, headroomBound));
  }
  return Promise.resolve({ experiment: 'headroom-policy', seed: options.seed, rows, bounds });
}

export const poolHeadroomExperiment: Experiment = {
  name: 'headroom-policy',
  describe: 'Headroom of the pools of both deployments on a virtual clock.',
  run,
};
