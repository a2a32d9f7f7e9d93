import type {
  RegionDemand,
  RegionPlan,
  RegionShares,
} from '@buckthornlug/protocol/routing/regionPlanSchema.js';

import { initialSplit, splitByHomeShare } from './initialSplit.js';
import { moveTowards, movedShare, withoutLostRegions, type SlotsByRegion } from './regionShares.js';
import { planSpeedPerMs } from './shiftCap.js';

/**
 * Plans where the calls of each region run, from the demand and the loads that all entry hosts report. Only
 * one host plans, the leader of the control group, since a cap on the calls of a region holds for the sum
 * over its hosts.
 */

/** Calls per slot above which calls leave a region; the rest is headroom for bursts and lost backend servers. */
const leaveLoadPerSlot = 0.62;
/** Calls per slot below which calls return, so that a wave of load does not move them to and fro. */
const returnLoadPerSlot = 0.55;
/** Lower limit of the load that shares are divided by, so that they do not jump in an idle region. */
const minLoadPerSlot = 0.05;
/** Smallest home share of a region with backend servers, so that its load stays known. */
const minHomeShare = 0.05;
/** Half-life of the counts. */
const countHalfLifeMs = 3000;
/** Recent calls below which a share is not moved. */
const minOfferedCalls = 20;
/**
 * Largest difference from the target that is left as it is, so that chance moves no calls. A region that can
 * take all of its calls gets the last ones as well.
 */
const deadband = 0.02;
/**
 * Parts of the speed at which calls return: while the other regions have room, and while they do not. A region that
 * takes calls back in a trough of its load has to give them away again in the rise.
 */
const calmReturnSpeedPart = 0.25;
const urgentReturnSpeedPart = 0.5;
/** Slots of recent reports below which a load is not known. */
const minReportedSlots = 1;
/** Load per slot from which another region gets fewer calls, and at which it gets the fewest. */
const roomyLoadPerSlot = 0.8;
const fullLoadPerSlot = 1.3;
/** Part of its weight that a full region keeps. */
const minWeightPart = 0.2;
/** Longest time that one step makes up for. */
const maxStepMs = 2000;

/** What has to be planned for. */
export interface PlanInputs {
  readonly services: readonly string[];
  /** Slots of the backend servers that callers of a region may use. */
  readonly slotsFor: (service: string, callerRegion: string) => SlotsByRegion;
  /** Objects that the backend servers of a region can keep warm. */
  readonly objectCapacity: (service: string, region: string) => number;
  /** Regions that have callers. */
  readonly callerRegions: readonly string[];
}

interface SplitState {
  shares: RegionShares;
  /** Whether calls have been reported, from when on shares move only in steps. */
  hasCalls: boolean;
  offeredCalls: number;
  activeObjects: number;
}

interface LoadState {
  calls: number;
  slots: number;
}

function keyOf(service: string, region: string): string {
  return JSON.stringify([service, region]);
}

/** Makes the plans of the leader. */
export class RegionPlanner {
  private readonly splits = new Map<string, SplitState>();

  private readonly loads = new Map<string, LoadState>();

  private steppedAtMs: number | undefined;

  /**
   * @param maxShift - shift cap: largest share of a region's calls that changes region per window, 0 to 1
   */
  constructor(private readonly maxShift: number) {}

  /** Goes on from the plan of a former leader. */
  adopt({ splits }: RegionPlan): void {
    for (const { service, callerRegion, shares } of splits) {
      const state = this.splitOf(service, callerRegion, shares);
      state.shares = shares;
      state.hasCalls = true;
    }
  }

  /** Adds what one or more hosts report. */
  record(demand: readonly RegionDemand[]): void {
    for (const { service, callerRegion, offeredCalls, loads, activeObjects } of demand) {
      const state = this.splitOf(service, callerRegion, {});
      state.offeredCalls += offeredCalls;
      state.activeObjects = Math.max(state.activeObjects, activeObjects);
      for (const [region, { calls, slots }] of Object.entries(loads)) {
        const load = this.loadOf(service, region);
        load.calls += calls;
        load.slots += slots;
      }
    }
  }

  /**
   * Moves the shares one step towards their targets.
   *
   * @param nowMs - monotonic time
   * @returns the splits of all services and caller regions
   */
  step(inputs: PlanInputs, nowMs: number): RegionPlan['splits'] {
    const elapsedMs = Math.min(maxStepMs, nowMs - (this.steppedAtMs ?? nowMs));
    this.steppedAtMs = nowMs;
    const splits: RegionPlan['splits'] = [];
    const known = new Set<string>();
    for (const service of inputs.services) {
      for (const callerRegion of inputs.callerRegions) {
        const slots = inputs.slotsFor(service, callerRegion);
        known.add(keyOf(service, callerRegion));
        const shares = this.stepSplit(service, callerRegion, slots, inputs, elapsedMs);
        splits.push({ service, callerRegion, shares });
      }
    }
    for (const key of this.splits.keys()) if (!known.has(key)) this.splits.delete(key);
    this.decay(elapsedMs);
    return splits;
  }

  private stepSplit(
    service: string,
    callerRegion: string,
    slots: SlotsByRegion,
    { objectCapacity }: PlanInputs,
    elapsedMs: number,
  ): RegionShares {
    const initial = initialSplit(callerRegion, slots);
    const state = this.splitOf(service, callerRegion, initial);
    state.hasCalls ||= state.offeredCalls > 0;
    if (!state.hasCalls || Object.keys(state.shares).length === 0) {
      state.shares = initial;
      return initial;
    }
    state.shares = withoutLostRegions(state.shares, slots) ?? initial;
    const capacity = objectCapacity(service, callerRegion);
    const target = this.target(service, callerRegion, slots, state, capacity);
    if (target === undefined) return state.shares;
    const isWhole = target[callerRegion] === 1;
    if (!isWhole && movedShare(state.shares, target) <= deadband) return state.shares;
    const isReturn = (target[callerRegion] ?? 0) > (state.shares[callerRegion] ?? 0);
    const speedPart = isReturn ? this.returnSpeedPart(service, callerRegion, slots) : 1;
    const maxMoved = planSpeedPerMs(this.maxShift) * speedPart * elapsedMs;
    state.shares = moveTowards(state.shares, target, maxMoved);
    return state.shares;
  }

  /**
   * Split at which the load of the region would lie between the two planned ones, or at the load of the other
   * regions if that is higher; undefined if too little is known.
   */
  private target(
    service: string,
    callerRegion: string,
    slots: SlotsByRegion,
    { shares, offeredCalls, activeObjects }: SplitState,
    objectCapacity: number,
  ): RegionShares | undefined {
    if (offeredCalls < minOfferedCalls) return undefined;
    const current = shares[callerRegion] ?? 0;
    // Nobody reports the load of a region that gets no calls.
    const assumedLoad = current < minHomeShare ? 0 : undefined;
    const homeLoad = this.loadPerSlot(service, callerRegion) ?? assumedLoad;
    if (homeLoad === undefined) return undefined;
    const otherLoad = this.otherLoadPerSlot(service, callerRegion, slots);
    // Not by the calls served at home: fewer are served in an overload, as everywhere, and would never return.
    const shareAtLoad = (load: number) =>
      (current * Math.max(load, otherLoad)) / Math.max(minLoadPerSlot, homeLoad);
    const byObjects = objectCapacity / Math.max(1, activeObjects);
    const mostAtHome = Math.min(1, byObjects, shareAtLoad(leaveLoadPerSlot));
    const leastAtHome = Math.min(mostAtHome, shareAtLoad(returnLoadPerSlot));
    const homeShare = Math.max(minHomeShare, leastAtHome, Math.min(mostAtHome, current));
    return splitByHomeShare(callerRegion, slots, homeShare, (region, regionSlots) => {
      const load = this.loadPerSlot(service, region) ?? 0;
      const room = (fullLoadPerSlot - load) / (fullLoadPerSlot - roomyLoadPerSlot);
      return regionSlots * Math.min(1, Math.max(minWeightPart, room));
    });
  }

  private returnSpeedPart(service: string, callerRegion: string, slots: SlotsByRegion): number {
    const otherLoad = this.otherLoadPerSlot(service, callerRegion, slots);
    return otherLoad > leaveLoadPerSlot ? urgentReturnSpeedPart : calmReturnSpeedPart;
  }

  private otherLoadPerSlot(service: string, callerRegion: string, slots: SlotsByRegion): number {
    let calls = 0;
    let otherSlots = 0;
    for (const [region, regionSlots] of slots) {
      const load = this.loadPerSlot(service, region);
      if (region === callerRegion || load === undefined) continue;
      calls += load * regionSlots;
      otherSlots += regionSlots;
    }
    return otherSlots === 0 ? 0 : calls / otherSlots;
  }

  private loadPerSlot(service: string, region: string): number | undefined {
    const { calls, slots } = this.loadOf(service, region);
    return slots < minReportedSlots ? undefined : calls / slots;
  }

  private splitOf(service: string, callerRegion: string, shares: RegionShares): SplitState {
    const key = keyOf(service, callerRegion);
    const known = this.splits.get(key);
    if (known !== undefined) return known;
    const created = { shares, hasCalls: false, offeredCalls: 0, activeObjects: 0 };
    this.splits.set(key, created);
    return created;
  }

  private loadOf(service: string, region: string): LoadState {
    const key = keyOf(service, region);
    const known = this.loads.get(key);
    if (known !== undefined) return known;
    const created = { calls: 0, slots: 0 };
    this.loads.set(key, created);
    return created;
  }

  private decay(elapsedMs: number): void {
    const kept = 0.5 ** (elapsedMs / countHalfLifeMs);
    for (const state of this.splits.values()) {
      state.offeredCalls *= kept;
      state.activeObjects *= kept;
    }
    for (const load of this.loads.values()) {
      load.calls *= kept;
      load.slots *= kept;
    }
  }
}
