/** Keeps a flood of urgent work from starving the other ranks. */

/** Half-life of the counts. */
const countHalfLifeMs = 3000;
/** Floor of each rank, as a part of the served share of the best served rank. */
const floorShare = 0.6;
/** Number of offered calls below which a rank counts as fully served. */
const minCalls = 5;

interface RankCounts {
  offered: number;
  served: number;
}

function servedShare({ offered, served }: RankCounts): number {
  return offered < minCalls ? 1 : Math.min(1, served / offered);
}

/** Share of the recently offered calls of each rank that were served. */
export class ServedShares {
  private readonly counts: RankCounts[] = [];

  private decayedAtMs = 0;

  /** Records a new call. */
  recordOffered(rank: number, nowMs: number): void {
    this.decay(nowMs);
    this.countOf(rank).offered += 1;
  }

  /** Records a call that was sent to a backend server. */
  recordServed(rank: number, nowMs: number): void {
    this.decay(nowMs);
    this.countOf(rank).served += 1;
  }

  /** Whether a rank's served share is below its floor. */
  isBelowFloor(rank: number, nowMs: number): boolean {
    this.decay(nowMs);
    let best = 0;
    for (const count of this.counts) {
      if (count !== undefined) best = Math.max(best, servedShare(count));
    }
    const own = this.counts[rank];
    return own !== undefined && servedShare(own) < best * floorShare;
  }

  private countOf(rank: number): RankCounts {
    this.counts[rank] ??= { offered: 0, served: 0 };
    return this.counts[rank];
  }

  private decay(nowMs: number): void {
    const kept = 0.5 ** ((nowMs - this.decayedAtMs) / countHalfLifeMs);
    this.decayedAtMs = nowMs;
    for (const count of this.counts) {
      if (count === undefined) continue;
      count.offered *= kept;
      count.served *= kept;
    }
  }
}
