import type { PoolCall, PoolRules, RunningCall } from '@buckthornlug/core/pools/poolTypes.js';
import { Pool } from '@buckthornlug/core/pools/pool.js';
import { BackendSlots } from '@buckthornlug/core/slots/backendSlots.js';
import { defaultOutlierLimits } from '@buckthornlug/core/slots/outliers.js';

import { createLogNormal, createSeededRandom, exponential } from '../../fakes/seededRandom.js';

/** One pool on a virtual clock, fed by Poisson arrivals; it serves to compare policies. */

/** Offered load of one rank. */
export interface RankLoad {
  readonly rank: number;
  /** Offered load over the capacity of the pool. */
  readonly load: number;
}

/** A run of the simulation. */
export interface SimulationPlan {
  readonly seed: number;
  readonly backends: number;
  readonly slotsPerBackend: number;
  readonly rules: PoolRules;
  readonly loads: readonly RankLoad[];
  readonly durationMs: number;
  readonly warmUpMs: number;
}

/** What happened to the calls of one rank. */
export interface RankResult {
  readonly rank: number;
  readonly offered: number;
  readonly refused: number;
  readonly answered: number;
  readonly insideTarget: number;
  /** Calls that would have been inside the target without any wait. */
  readonly ceiling: number;
  readonly waitsMs: readonly number[];
  readonly slotMs: number;
  /** Slot time of all calls that were offered. */
  readonly offeredSlotMs: number;
}

interface SimulatedCall extends PoolCall {
  readonly arrivedAtMs: number;
  readonly serviceMs: number;
}

interface Running {
  readonly endsAtMs: number;
  readonly startedAtMs: number;
  readonly call: SimulatedCall;
  readonly backend: BackendSlots;
  readonly running: RunningCall;
}

interface Tally {
  offered: number;
  refused: number;
  answered: number;
  insideTarget: number;
  ceiling: number;
  waitsMs: number[];
  slotMs: number;
  offeredSlotMs: number;
}

const meanServiceMs = 40;
const p99OfMean = 5;
const drawServiceMs = createLogNormal(meanServiceMs, p99OfMean);
const hostId = 'host-1';
const endlessLeaseMs = 1e12;

function createBackends(plan: SimulationPlan): BackendSlots[] {
  const timing = { leaseMs: endlessLeaseMs, guardMs: 0, formerOwnerCallMs: 0, slowStartMs: 0 };
  const backends: BackendSlots[] = [];
  for (let index = 0; index < plan.backends; index += 1) {
    const backendId = `backend-${index}`;
    const backend = new BackendSlots(backendId, hostId, timing, defaultOutlierLimits);
    const announcement = {
      backendId,
      service: 'service',
      availabilityZone: 'zone',
      endpoint: { address: '127.0.0.1', port: 1 },
      slots: plan.slotsPerBackend,
      connectionLimit: plan.slotsPerBackend,
      state: 'ready' as const,
      inFlight: 0,
    };
    backend.lease.receive(announcement, 0, 0);
    const token = backend.lease.issue('token', 0, 0);
    backend.lease.receive({ ...announcement, lease: { hostId, token, ageMs: 0 } }, 0, 0);
    backends.push(backend);
  }
  return backends;
}

/** Runs one plan to its end. */
export class PoolSimulation {
  private readonly random;

  private readonly pool: Pool<SimulatedCall>;

  private readonly tallies: Tally[];

  private readonly nextArrivalMs: number[];

  private running: Running[] = [];

  private nowMs = 0;

  private calls = 0;

  constructor(private readonly plan: SimulationPlan) {
    this.random = createSeededRandom(plan.seed);
    this.pool = new Pool<SimulatedCall>(plan.rules, 0);
    for (const backend of createBackends(plan)) this.pool.add(backend);
    this.tallies = plan.rules.ranks.map(() => ({
      offered: 0,
      refused: 0,
      answered: 0,
      insideTarget: 0,
      ceiling: 0,
      waitsMs: [],
      slotMs: 0,
      offeredSlotMs: 0,
    }));
    this.nextArrivalMs = plan.loads.map((load) => this.interarrivalMs(load));
  }

  /** Runs the plan. */
  run(): RankResult[] {
    while (this.nowMs < this.plan.durationMs) this.step();
    this.drain();
    return this.tallies.map((tally, rank) => ({ rank, ...tally }));
  }

  /** Lets the calls in the pool end; their slot time lies outside of the run. */
  private drain(): void {
    const slotMs = this.tallies.map((tally) => tally.slotMs);
    for (let end = this.earliestEnd(); end !== undefined; end = this.earliestEnd()) {
      this.nowMs = end.endsAtMs;
      this.finish(end);
      this.pump();
    }
    for (const [rank, tally] of this.tallies.entries()) tally.slotMs = slotMs[rank] ?? 0;
  }

  private step(): void {
    let arrival = 0;
    for (const [index, atMs] of this.nextArrivalMs.entries()) {
      if (atMs < (this.nextArrivalMs[arrival] ?? Number.POSITIVE_INFINITY)) arrival = index;
    }
    const arrivalMs = this.nextArrivalMs[arrival] ?? Number.POSITIVE_INFINITY;
    const end = this.earliestEnd();
    if (end !== undefined && end.endsAtMs <= arrivalMs) {
      this.nowMs = end.endsAtMs;
      this.finish(end);
    } else {
      this.nowMs = arrivalMs;
      this.arrive(arrival);
    }
    this.pump();
  }

  private earliestEnd(): Running | undefined {
    let earliest: Running | undefined;
    for (const running of this.running) {
      if (earliest === undefined || running.endsAtMs < earliest.endsAtMs) earliest = running;
    }
    return earliest;
  }

  private arrive(index: number): void {
    const load = this.plan.loads[index];
    if (load === undefined) return;
    this.nextArrivalMs[index] = this.nowMs + this.interarrivalMs(load);
    const targetMs = this.plan.rules.ranks[load.rank]?.targetMs ?? 0;
    this.calls += 1;
    const call: SimulatedCall = {
      requestId: String(this.calls),
      kind: `kind-${load.rank}`,
      rank: load.rank,
      arrivedAtMs: this.nowMs,
      targetAtMs: this.nowMs + targetMs,
      deadlineAtMs: this.nowMs + 3 * targetMs,
      excluded: [],
      serviceMs: drawServiceMs(this.random),
    };
    const tally = this.tallyOf(call);
    if (tally !== undefined) {
      tally.offered += 1;
      tally.offeredSlotMs += call.serviceMs;
      if (call.serviceMs <= targetMs) tally.ceiling += 1;
    }
    const offer = this.pool.offer(call, this.nowMs);
    if (offer.offer === 'refused' && tally !== undefined) tally.refused += 1;
  }

  private pump(): void {
    for (const effect of this.pool.dispatchWaiting(this.nowMs)) {
      const tally = this.tallyOf(effect.call);
      if (effect.effect === 'refuse') {
        if (tally !== undefined) tally.refused += 1;
        continue;
      }
      tally?.waitsMs.push(this.nowMs - effect.call.arrivedAtMs);
      this.running.push({
        endsAtMs: this.nowMs + effect.call.serviceMs,
        startedAtMs: this.nowMs,
        call: effect.call,
        backend: effect.backend,
        running: effect.running,
      });
    }
  }

  private finish(done: Running): void {
    this.running.splice(this.running.indexOf(done), 1);
    const elapsedMs = this.nowMs - done.startedAtMs;
    const outcome = { result: 'answered' as const, status: 200, elapsedMs };
    this.pool.release(done.backend, done.running, outcome, this.nowMs);
    const ranked = this.tallies[done.call.rank];
    if (ranked !== undefined && this.nowMs >= this.plan.warmUpMs) ranked.slotMs += elapsedMs;
    const tally = this.tallyOf(done.call);
    if (tally === undefined) return;
    tally.answered += 1;
    if (this.nowMs <= done.call.targetAtMs) tally.insideTarget += 1;
  }

  private tallyOf(call: SimulatedCall): Tally | undefined {
    return call.arrivedAtMs >= this.plan.warmUpMs ? this.tallies[call.rank] : undefined;
  }

  private interarrivalMs(load: RankLoad): number {
    const slots = this.plan.backends * this.plan.slotsPerBackend;
    const callsPerMs = (slots / meanServiceMs) * load.load;
    return exponential(this.random, 1 / callsPerMs);
  }
}
