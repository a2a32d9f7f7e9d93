import type { Distance } from './trackedBackend.js';

/**
 * Keeps the queue of this host's own link short, for a load whose bytes exceed the link for seconds. Every
 * byte waits in that queue: calls to backend servers, answers, polls of the routing state and probes. A long
 * queue delivers calls whose callers have left, to backend servers that have announced their departure.
 *
 * The delay of the link is what opening a connection takes beyond the shortest time seen. The share of calls
 * that is refused follows it as in PIE (RFC 8033), the least urgent ranks first.
 */

/** Delay up to which no call is refused. */
const targetDelayMs = 200;
const updateIntervalMs = 100;
/** Change of the refused share for each second of delay beyond the target, at each update. */
const delayGainPerS = 0.125;
/** Change of the refused share for each second by which the delay has grown, at each update. */
const growthGainPerS = 1.25;
/** Largest increase of the refused share at an update; a pause of the process looks like a jump of the delay. */
const maxIncrease = 0.1;
/** Largest refused share of a rank, so that each rank keeps a part of the link. */
const maxRefusedShare = 0.7;
/** Connections that the delay is the median of; few dead or slow backend servers do not move it. */
const maxSamples = 9;
const minSamples = 5;
const sampleValidMs = 1500;
const msPerS = 1000;

interface DelaySample {
  readonly atMs: number;
  readonly delayMs: number;
}

/** Admits calls by the delay of the link. */
export class LinkAdmission {
  private readonly shortestMs = new Map<Distance, number>();

  private samples: DelaySample[] = [];

  private previousDelayMs = 0;

  private updatedAtMs = Number.NEGATIVE_INFINITY;

  /** Share of all calls to refuse. */
  private refusedShare = 0;

  /**
   * Records how long opening a connection took. One that was not opened says nothing: its backend server may
   * be gone.
   *
   * @param distance - where the backend server is
   */
  recordConnect(distance: Distance, connectMs: number, nowMs: number): void {
    const shortestMs = Math.min(this.shortestMs.get(distance) ?? connectMs, connectMs);
    this.shortestMs.set(distance, shortestMs);
    this.samples.push({ atMs: nowMs, delayMs: connectMs - shortestMs });
    if (this.samples.length > maxSamples) this.samples.shift();
  }

  /** Time that bytes wait for the link, both ways; 0 where too few connections were opened lately. */
  delayMs(nowMs: number): number {
    const recent = this.samples.filter(({ atMs }) => nowMs - atMs <= sampleValidMs);
    if (recent.length < minSamples) return 0;
    const sorted = recent.map(({ delayMs }) => delayMs).sort((left, right) => left - right);
    return sorted[Math.floor(sorted.length / 2)] ?? 0;
  }

  /**
   * Share of the calls of a rank to refuse.
   *
   * @param rank - 0 is the most urgent
   * @param leastUrgentRank - highest rank of all routes
   */
  refusedShareOf(rank: number, leastUrgentRank: number, nowMs: number): number {
    this.update(nowMs);
    const lessUrgentRanks = Math.max(0, leastUrgentRank - rank);
    const ranks = leastUrgentRank + 1;
    const share = this.refusedShare * ranks - lessUrgentRanks;
    return Math.min(maxRefusedShare, Math.max(0, share));
  }

  private update(nowMs: number): void {
    if (nowMs - this.updatedAtMs < updateIntervalMs) return;
    const delayMs = this.delayMs(nowMs);
    const excessS = (delayMs - targetDelayMs) / msPerS;
    const growthS = (delayMs - this.previousDelayMs) / msPerS;
    const increase = Math.min(maxIncrease, delayGainPerS * excessS + growthGainPerS * growthS);
    // Growth below the target is harmless; it must not refuse calls by itself.
    const isHarmless = this.refusedShare === 0 && delayMs <= targetDelayMs;
    this.refusedShare = isHarmless ? 0 : Math.min(1, Math.max(0, this.refusedShare + increase));
    this.previousDelayMs = delayMs;
    this.updatedAtMs = nowMs;
  }
}
