import { setTimeout as delay } from 'node:timers/promises';

import { atLeast } from '../benchTypes.js';
import type {
  ReportBound,
  ReportRow,
  BenchOptions,
  BenchReport,
  Experiment,
} from '../benchTypes.js';
import { trekpole } from './loadDeployments.js';
import { startLoadFleet, type FleetPlan, type LoadFleet } from './loadFleet.js';
import { insideShare, kindRows, meanSlotMs, overloadFigures } from './loadReport.js';
import { meanServiceMs, offerLoad, summarize, type KindShare } from './loadRun.js';
import type { StreamResult } from './loadTypes.js';

/** Floods of the least and of the most urgent work, in one region. */

const baseLoad = 0.6;
const floodFactor = 10;
const urgentBound = 0.999;
const goodputBound = 0.9;
const settleMs = 4500;
const warmUpMs = 3000;
const msPerS = 1000;
const loadProcesses = 2;
const floodedService = 'parts-desk';

/** Base load with the kinds of one rank multiplied. */
function floodShares(kinds: readonly string[]): KindShare[] {
  return trekpole.shares.map((share) => ({
    ...share,
    load: share.load * baseLoad * (kinds.includes(share.kind) ? floodFactor : 1),
  }));
}

const floods = [
  { name: 'least urgent', kinds: ['report'] },
  { name: 'most urgent', kinds: ['stock', 'reserve'] },
] as const;

function ofRank(results: readonly StreamResult[], rank: number): StreamResult[] {
  return results.filter((result) => result.service === floodedService && result.rank === rank);
}

/** Calls answered inside their target, as a share of what the slots can serve. */
function goodputShare(
  results: readonly StreamResult[],
  fleet: LoadFleet,
  durationMs: number,
): number {
  const capacityCalls = (fleet.slotsOf(floodedService) * durationMs) / meanServiceMs;
  return summarize(results).insideTarget / capacityCalls;
}

function leastUrgentBounds(hosts: string, results: readonly StreamResult[]): ReportBound[] {
  const urgent = insideShare(summarize(ofRank(results, 0)));
  return [atLeast(`${hosts} least urgent: urgent calls inside target`, urgent, urgentBound)];
}

/** Bounds of a flood of the most urgent rank: floors of the others and total goodput. */
function mostUrgentBounds(
  hosts: string,
  results: readonly StreamResult[],
  fleet: LoadFleet,
  durationMs: number,
): ReportBound[] {
  const bounds: ReportBound[] = [];
  const flooded = results.filter((result) => result.service === floodedService);
  for (const [rank, rule] of fleet.document.ranks.entries()) {
    if (rank === 0) continue;
    const calls = ofRank(results, rank);
    const got = goodputShare(calls, fleet, durationMs);
    const offered =
      (summarize(calls).offered * meanServiceMs) / (fleet.slotsOf(floodedService) * durationMs);
    const floor = Math.min(rule.floorPermille / 1000, offered);
    bounds.push(atLeast(`${hosts} most urgent: share of rank ${rule.id}`, got, floor));
  }
  const goodput = goodputShare(flooded, fleet, durationMs);
  bounds.push(atLeast(`${hosts} most urgent: goodput of the slots`, goodput, goodputBound));
  return bounds;
}

async function runFloodsOn(
  hosts: FleetPlan['hosts'],
  options: BenchOptions,
  rows: ReportRow[],
  bounds: ReportBound[],
): Promise<void> {
  const fleet = await startLoadFleet({ ...trekpole.fleet, regions: 1, hosts, seed: options.seed });
  const durationMs = options.durationS * msPerS;
  try {
    await delay(settleMs);
    for (const flood of floods) {
      options.progress(`${hosts}, flood of the ${flood.name}`);
      const slotTimesBefore = await fleet.slotTimes();
      const results = await offerLoad(fleet, {
        seed: options.seed,
        shares: floodShares(flood.kinds),
        warmUpMs,
        durationMs: warmUpMs + durationMs,
        processes: loadProcesses,
        looksUp: hosts === 'buckthornlug',
      });
      const condition = `${hosts} ${flood.name}`;
      rows.push(...kindRows(condition, results));
      const { shed } = await overloadFigures(fleet);
      const slotMs = meanSlotMs(slotTimesBefore, await fleet.slotTimes());
      rows.push({ condition, figures: { shed, meanSlotMs: slotMs } });
      bounds.push(
        ...(flood.name === 'least urgent'
          ? leastUrgentBounds(hosts, results)
          : mostUrgentBounds(hosts, results, fleet, durationMs)),
      );
    }
  } finally {
    await fleet.close();
  }
}

async function runFlood(options: BenchOptions): Promise<BenchReport> {
  const rows: ReportRow[] = [];
  const bounds: ReportBound[] = [];
  await runFloodsOn('buckthornlug', options, rows, bounds);
  await runFloodsOn('roundRobin', options, rows, []);
  return { experiment: 'flood', seed: options.seed, rows, bounds };
}

export const floodExperiment: Experiment = {
  name: 'flood',
  describe: 'Ten times the least urgent work, then ten times the most urgent, one region.',
  run: runFlood,
};
