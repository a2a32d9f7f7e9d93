import type { RegionShares } from '@buckthornlug/protocol/routing/regionPlanSchema.js';

import { hashText } from '../hash/textHash.js';
import { unevenRefusalPart } from './shiftCap.js';

/**
 * Turns the calls of a region away evenly over its planned regions. If only the full ones refuse, the mix of the
 * calls that run changes by more than the shift cap from one moment to the next, while the plan stands still.
 *
 * A host asks for each new call what each planned region would do with it now. For each pair of regions a deficit
 * counts how many of the calls of the one the other would have refused, beyond those that were refused. A call is
 * turned away as soon as the largest deficit of its region allows it, so that the region refuses as many as the
 * fullest one, rather than the sum. All samples come from the same calls: a change shows with the first of them.
 */

/** What a region would do with a call. */
export type RegionVerdict = 'send' | 'wait' | 'turnAway';

/** A new call. */
export interface EvenCall {
  readonly requestId: string;
  /** 0 is the most urgent. */
  readonly rank: number;
}

/** A call that waited for its planned region. */
export interface Wait {
  readonly rank: number;
  readonly region: string;
  /** Expected refusals of such calls when the wait began. */
  readonly expectedRefusal: number;
}

/** Share of the calls up to which a region makes no other refuse: what it turns away moves no more than that. */
const smallShare = 0.05;
/** Time after the last refusal for which regions are compared; without refusals there is nothing to even out. */
const activeForMs = 3000;
/** Calls that a region makes up for at most. */
const maxDeficit = 5;
/** Calls that are credited to a region at most, of those that it refused beyond its part. */
const maxCredit = 1.5;
/** Weight of the newest outcome in the share of waiting calls that are turned away. */
const newestWaitWeight = 0.2;
const hashRange = 2 ** 32;

/** Deficits of the regions of one service on an entry host. */
export class EvenRefusals {
  private readonly deficits = new Map<string, number>();

  /** Share of the calls waiting for a region that is turned away in the end, by rank and region. */
  private readonly refusedWaits = new Map<string, number>();

  private refusedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * @param maxShift - shift cap: largest share of a region's calls that changes region per window, 0 to 1
   */
  constructor(private readonly maxShift: number) {}

  /** Whether calls were turned away lately. */
  isActive(nowMs: number): boolean {
    return nowMs - this.refusedAtMs < activeForMs;
  }

  /** Whether refusals of a region with this share of the calls have to be evened out. */
  isCompared(share: number): boolean {
    return share > smallShare && share < 1 && unevenRefusalPart(this.maxShift, share) < 1;
  }

  /** Records that a region turned a call away. */
  recordRefusal(nowMs: number): void {
    if (!this.isActive(nowMs)) {
      this.deficits.clear();
      this.refusedWaits.clear();
    }
    this.refusedAtMs = nowMs;
  }

  /** Share of the calls of a rank that wait for a region now and will be turned away. */
  expectedRefusal(rank: number, region: string): number {
    return this.refusedWaits.get(JSON.stringify([rank, region])) ?? 0;
  }

  /**
   * Records how the wait of a call ended, and corrects the deficits by the difference from what was expected.
   *
   * @param shares - share of the calls that is planned for each region
   */
  recordWait(
    { rank, region, expectedRefusal }: Wait,
    isRefused: boolean,
    shares: RegionShares,
  ): void {
    const known = this.expectedRefusal(rank, region);
    const learned = known + newestWaitWeight * (Number(isRefused) - known);
    this.refusedWaits.set(JSON.stringify([rank, region]), learned);
    const unexpected = Number(isRefused) - expectedRefusal;
    const share = shares[region] ?? 0;
    if (!this.isCompared(share)) return;
    for (const [other, otherShare] of Object.entries(shares)) {
      if (other === region) continue;
      this.add(JSON.stringify([rank, other, region]), (unexpected * otherShare) / share);
      this.add(JSON.stringify([rank, region, other]), -unexpected);
    }
  }

  /**
   * Decides whether a call that its planned region would accept is turned away because other regions turn such
   * calls away.
   *
   * @param planned - planned region of the call
   * @param verdicts - what the planned regions of the callers' region would do with the call
   * @param shares - share of the calls that is planned for each region
   */
  isTurnedAway(
    { requestId, rank }: EvenCall,
    planned: string,
    verdicts: ReadonlyMap<string, RegionVerdict>,
    shares: RegionShares,
  ): boolean {
    const ownRefusals = this.expectedRefusals(rank, planned, verdicts);
    const deficits = new Map<string, number>();
    let largest = 0;
    for (const region of verdicts.keys()) {
      const share = shares[region] ?? 0;
      if (region === planned || !this.isCompared(share)) continue;
      const key = JSON.stringify([rank, planned, region]);
      const refusals = this.expectedRefusals(rank, region, verdicts);
      const deficit = (this.deficits.get(key) ?? 0) + refusals;
      largest = Math.max(largest, deficit);
      const forgiven = refusals === 0 ? unevenRefusalPart(this.maxShift, share) : 0;
      deficits.set(key, deficit > 0 ? Math.max(0, deficit - forgiven) : deficit);
    }
    // Rounded by the identity of the call, so that hosts with few calls do not all round down.
    const isDue = largest > hashText(`even ${requestId}`) / hashRange;
    const isTurnedAway = ownRefusals < 1 && isDue;
    for (const [key, deficit] of deficits) {
      this.deficits.set(key, 0);
      this.add(key, deficit - (isTurnedAway ? 1 : ownRefusals));
    }
    return isTurnedAway;
  }

  private add(key: string, calls: number): void {
    const deficit = (this.deficits.get(key) ?? 0) + calls;
    this.deficits.set(key, Math.min(maxDeficit, Math.max(-maxCredit, deficit)));
  }

  private expectedRefusals(
    rank: number,
    region: string,
    verdicts: ReadonlyMap<string, RegionVerdict>,
  ): number {
    const verdict = verdicts.get(region);
    if (verdict === 'turnAway') return 1;
    return verdict === 'wait' ? this.expectedRefusal(rank, region) : 0;
  }
}
