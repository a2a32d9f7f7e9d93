import { startBenchProcess } from './benchProcess.js';
import type { LoadFleet } from './loadFleet.js';
import type { CallStream, StreamResult } from './loadTypes.js';

/** Mean service time of the fakes. */
export const meanServiceMs = 40;
const msPerS = 1000;

/** Share of one kind in the calls of a service. */
export interface KindShare {
  readonly service: string;
  readonly kind: string;
  readonly method: string;
  readonly path: string;
  /** Offered load of the kind over the slots of its service. */
  readonly load: number;
}

/** One measured condition. */
export interface LoadRunPlan {
  readonly seed: number;
  readonly shares: readonly KindShare[];
  readonly warmUpMs: number;
  readonly durationMs: number;
  readonly processes: number;
  /** Whether callers look up the host to use; else they use the hosts of their zone in turn. */
  readonly looksUp: boolean;
}

function streamsOf(fleet: LoadFleet, plan: LoadRunPlan): CallStream[] {
  const streams: CallStream[] = [];
  const { document, zones } = fleet;
  for (const { service, kind, method, path, load } of plan.shares) {
    const known = document.services[service];
    const rule = known?.kinds.find((entry) => entry.id === kind);
    const rank = document.ranks.findIndex((entry) => entry.id === rule?.rank);
    const callsPerS = (fleet.slotsOf(service) / meanServiceMs) * msPerS * load;
    for (const availabilityZone of zones) {
      streams.push({
        service,
        kind,
        rank,
        availabilityZone,
        hostName: known?.hostNames[0] ?? '',
        method,
        path,
        callsPerS: callsPerS / zones.length,
        targetMs: rule?.targetMs ?? document.ranks[rank]?.targetMs ?? 0,
        hosts: fleet.hostsOf(availabilityZone),
        looksUp: plan.looksUp,
      });
    }
  }
  return streams.filter((stream) => stream.callsPerS > 0);
}

/**
 * Offers load to a deployment and collects what became of the calls.
 *
 * @param fleet - deployment
 * @param plan - load and times
 */
export async function offerLoad(fleet: LoadFleet, plan: LoadRunPlan): Promise<StreamResult[]> {
  const streams = streamsOf(fleet, plan);
  const workers = Array.from({ length: plan.processes }, () => startBenchProcess());
  const { warmUpMs, durationMs } = plan;
  try {
    const replies = await Promise.all(
      workers.map((worker, index) =>
        worker.ask({
          message: 'load',
          seed: plan.seed * 100 + index,
          streams: streams.filter((_, number) => number % workers.length === index),
          warmUpMs,
          durationMs,
        }),
      ),
    );
    return replies.flatMap((reply) => (reply.message === 'results' ? reply.results : []));
  } finally {
    await Promise.all(workers.map((worker) => worker.kill()));
  }
}

/** Calls of several streams together. */
export interface RankSummary {
  readonly offered: number;
  readonly answered: number;
  readonly insideTarget: number;
  readonly refused: number;
  readonly hungUp: number;
  readonly broken: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly p999Ms: number;
  readonly startLagP99Ms: number;
}

function quantile(sorted: readonly number[], share: number): number {
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/**
 * Adds up the results of streams.
 *
 * @param results - streams to add up
 */
export function summarize(results: readonly StreamResult[]): RankSummary {
  const sum = { offered: 0, answered: 0, insideTarget: 0, refused: 0, hungUp: 0, broken: 0 };
  const latenciesMs: number[] = [];
  const startLagsMs: number[] = [];
  for (const result of results) {
    sum.offered += result.offered;
    sum.answered += result.answered;
    sum.insideTarget += result.insideTarget;
    sum.hungUp += result.hungUp;
    sum.broken += result.broken;
    for (const count of Object.values(result.refused)) sum.refused += count;
    for (const latencyMs of result.latenciesMs) latenciesMs.push(latencyMs);
    for (const lagMs of result.startLagsMs) startLagsMs.push(lagMs);
  }
  latenciesMs.sort((a, b) => a - b);
  startLagsMs.sort((a, b) => a - b);
  return {
    ...sum,
    p50Ms: quantile(latenciesMs, 0.5),
    p99Ms: quantile(latenciesMs, 0.99),
    p999Ms: quantile(latenciesMs, 0.999),
    startLagP99Ms: quantile(startLagsMs, 0.99),
  };
}
