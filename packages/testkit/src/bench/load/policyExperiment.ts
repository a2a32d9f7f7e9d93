import { atLeast } from '../benchTypes.js';
import type {
  ReportBound,
  ReportRow,
  BenchOptions,
  BenchReport,
  Experiment,
} from '../benchTypes.js';
import { heldShare } from './loadReport.js';
import { PoolSimulation, type RankResult, type SimulationPlan } from './poolSimulation.js';

/** The pool policy on a virtual clock: one zone, one pool, no sockets. */

const meanServiceMs = 40;
const simulatedMsPerS = 12_000;
const warmUpMs = 5000;
const rankShares = [0.4, 0.3, 0.3];
const ranks = [
  { targetMs: 250, floorPermille: 200 },
  { targetMs: 600, floorPermille: 250 },
  { targetMs: 3000, floorPermille: 100 },
];

/** A condition: how many times its usual load each rank offers. */
interface PolicyCondition {
  readonly name: string;
  readonly load: number;
  readonly factors: readonly number[];
}

const even = [1, 1, 1];
const conditions: readonly PolicyCondition[] = [
  { name: 'load 0.3', load: 0.3, factors: even },
  { name: 'load 0.6', load: 0.6, factors: even },
  { name: 'load 0.9', load: 0.9, factors: even },
  { name: 'load 0.95', load: 0.95, factors: even },
  { name: 'least urgent 10x', load: 0.6, factors: [1, 1, 10] },
  { name: 'most urgent 10x', load: 0.6, factors: [10, 1, 1] },
  { name: 'most urgent 10x at 1.0', load: 1, factors: [10, 1, 1] },
];

function planOf(condition: PolicyCondition, options: BenchOptions): SimulationPlan {
  return {
    seed: options.seed,
    backends: 4,
    slotsPerBackend: 3,
    rules: { ranks, serviceTimeMs: meanServiceMs, maxQueuedCalls: 4096 },
    loads: rankShares.map((share, rank) => ({
      rank,
      load: share * condition.load * (condition.factors[rank] ?? 1),
    })),
    durationMs: warmUpMs + options.durationS * simulatedMsPerS,
    warmUpMs,
  };
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function rowOf(condition: string, result: RankResult, capacitySlotMs: number): ReportRow {
  const percent = (count: number) => Number(((count / result.offered) * 100).toFixed(2));
  return {
    condition: `${condition} rank ${result.rank}`,
    figures: {
      offered: result.offered,
      refusedPercent: percent(result.refused),
      insidePercent: percent(result.insideTarget),
      ceilingPercent: percent(result.ceiling),
      waitP50Ms: Number(quantile(result.waitsMs, 0.5).toFixed(1)),
      waitP99Ms: Number(quantile(result.waitsMs, 0.99).toFixed(1)),
      waitP999Ms: Number(quantile(result.waitsMs, 0.999).toFixed(1)),
      slotShare: Number((result.slotMs / capacitySlotMs).toFixed(3)),
    },
  };
}

function floodBounds(
  condition: PolicyCondition,
  results: readonly RankResult[],
  goodput: number,
  capacitySlotMs: number,
): ReportBound[] {
  if (condition.factors === even) return [];
  const bounds = [atLeast(`${condition.name}: goodput of the slots`, goodput, 0.9)];
  if ((condition.factors[0] ?? 1) > 1) {
    for (const { rank, offeredSlotMs, slotMs } of results) {
      const offeredShare = offeredSlotMs / capacitySlotMs;
      const floor = Math.min((ranks[rank]?.floorPermille ?? 0) / 1000, offeredShare * heldShare);
      const got = slotMs / capacitySlotMs;
      bounds.push(atLeast(`${condition.name}: slots of rank ${rank}`, got, floor));
    }
    return bounds;
  }
  const [urgent] = results;
  if (urgent === undefined) return bounds;
  const ofCeiling = urgent.insideTarget / urgent.ceiling;
  bounds.push(atLeast(`${condition.name}: urgent inside target of ceiling`, ofCeiling, 0.999));
  return bounds;
}

async function runPolicy(options: BenchOptions): Promise<BenchReport> {
  const rows: ReportRow[] = [];
  const bounds: ReportBound[] = [];
  for (const condition of conditions) {
    const plan = planOf(condition, options);
    const capacitySlotMs = plan.backends * plan.slotsPerBackend * (plan.durationMs - plan.warmUpMs);
    const results = new PoolSimulation(plan).run();
    const inside = results.reduce((sum, result) => sum + result.insideTarget, 0);
    const goodput = (inside * meanServiceMs) / capacitySlotMs;
    for (const result of results) rows.push(rowOf(condition.name, result, capacitySlotMs));
    rows.push({ condition: condition.name, figures: { goodput: Number(goodput.toFixed(3)) } });
    bounds.push(...floodBounds(condition, results, goodput, capacitySlotMs));
  }
  return { experiment: 'policy', seed: options.seed, rows, bounds };
}

export const policyExperiment: Experiment = {
  name: 'policy',
  describe: 'The pool policy on a virtual clock: loads and floods, waits by rank.',
  run: runPolicy,
};
