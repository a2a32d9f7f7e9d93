import type { Figures, ReportRow } from '../benchTypes.js';
import type { LoadFleet } from './loadFleet.js';
import { summarize, type RankSummary } from './loadRun.js';
import type { SlotTime, StreamResult } from './loadTypes.js';

/** Share of the calls of a rank that must be inside their target for the target to hold. */
export const heldShare = 0.99;

const standardNormalSteps = 4000;
const logDeviation = 0.8465;
const logMean = Math.log(40) - logDeviation ** 2 / 2;
const lowestDeviation = -8;

/**
 * Share of service times alone that lie inside a target; no policy answers more calls in time.
 *
 * @param targetMs - target of the calls
 */
export function ceilingShare(targetMs: number): number {
  const upper = (Math.log(targetMs) - logMean) / logDeviation;
  const width = (upper - lowestDeviation) / standardNormalSteps;
  let area = 0;
  for (let step = 0; step < standardNormalSteps; step += 1) {
    const at = lowestDeviation + (step + 0.5) * width;
    area += Math.exp((-at * at) / 2) * width;
  }
  return area / Math.sqrt(2 * Math.PI);
}

function round(value: number, decimals = 2): number {
  return Number(value.toFixed(decimals));
}

/** Share of offered calls that were answered inside their target. */
export function insideShare(summary: RankSummary): number {
  return summary.offered === 0 ? 1 : summary.insideTarget / summary.offered;
}

/** Figures of several streams of one rank. */
export function rankFigures(results: readonly StreamResult[]): Figures {
  const summary = summarize(results);
  const [first] = results;
  return {
    offered: summary.offered,
    insidePercent: round(insideShare(summary) * 100),
    ceilingPercent: round(ceilingShare(first?.targetMs ?? 0) * 100),
    refused: summary.refused,
    hungUp: summary.hungUp,
    broken: summary.broken,
    p50Ms: round(summary.p50Ms, 1),
    p99Ms: round(summary.p99Ms, 0),
    p999Ms: round(summary.p999Ms, 0),
    startLagP99Ms: round(summary.startLagP99Ms, 0),
  };
}

/** Results by service and kind, in the order of their first stream. */
export function byKind(results: readonly StreamResult[]): Map<string, StreamResult[]> {
  const groups = new Map<string, StreamResult[]>();
  for (const result of results) {
    const key = `${result.service}/${result.kind}`;
    groups.set(key, [...(groups.get(key) ?? []), result]);
  }
  return groups;
}

/** Rows by kind of work. */
export function kindRows(condition: string, results: readonly StreamResult[]): ReportRow[] {
  const rows: ReportRow[] = [];
  for (const [kind, ofKind] of byKind(results)) {
    const rank = ofKind[0]?.rank ?? 0;
    rows.push({ condition: `${condition} ${kind}`, figures: { rank, ...rankFigures(ofKind) } });
  }
  return rows;
}

/** Smallest share inside the target over all kinds. */
export function worstInsideShare(results: readonly StreamResult[]): number {
  let worst = 1;
  for (const ofKind of byKind(results).values()) {
    worst = Math.min(worst, insideShare(summarize(ofKind)));
  }
  return worst;
}

/** Calls that backend servers shed because all their slots were in use, and the most in flight. */
export async function overloadFigures(fleet: LoadFleet) {
  const reports = await fleet.counts();
  let shed = 0;
  let over = 0;
  for (const { counts, slots } of reports) {
    shed += counts.shed;
    over = Math.max(over, counts.mostInFlight - slots);
  }
  return { shed, over };
}

/** Mean time that a call held its slot between two readings, in milliseconds. */
export function meanSlotMs(before: readonly SlotTime[], after: readonly SlotTime[]): number {
  let calls = 0;
  let totalMs = 0;
  for (const time of after) {
    calls += time.calls;
    totalMs += time.totalMs;
  }
  for (const time of before) {
    calls -= time.calls;
    totalMs -= time.totalMs;
  }
  return calls === 0 ? 0 : round(totalMs / calls, 1);
}
