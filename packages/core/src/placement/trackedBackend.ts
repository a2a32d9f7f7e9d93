import type { RegisteredBackend } from '@buckthornlug/protocol/registry/registrySchema.js';

import { WarmObjects } from './warmObjects.js';

/** One registered backend server as an entry host sees it. */

/** How far a backend server is from this host. */
export type Distance = 'zone' | 'region' | 'far';

/** Weight of the newest answer in the averages; about ten answers back count. */
const newestOutcomeWeight = 0.2;
/** Time after which half of what spoke against a backend server is forgotten. */
const penaltyHalfLifeMs = 3000;
/** Age at which a reported load counts half as much as a new one. */
const reportHalfLifeMs = 300;
/** Age up to which a reported load says how busy a place is; a host asks one backend server of many rarely. */
const maxReportAgeMs = 1500;
/** First pause after a backend server could not be reached; each further one doubles it. */
const initialBackoffMs = 500;
const maxBackoffMs = 8000;

/** Load that a backend server reported with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** How an exchange with a backend server ended, for its standing. */
export interface HealthSample {
  readonly isFailure: boolean;
  /** Time of the answer relative to what was expected; absent where none came or it had queued. */
  readonly slowness?: number;
}

/** Own calls in flight, reported load and standing of one backend server. */
export class TrackedBackend {
  /** Calls of this host that are in flight. */
  inFlight = 0;

  /** Objects handled lately, as far as this host knows. */
  readonly warmObjects = new WarmObjects();

  private otherHostsInFlight = 0;

  private reportedCalls = 0;

  private reportedAtMs = Number.NEGATIVE_INFINITY;

  private slowness = 1;

  private failureShare = 0;

  private penaltiesAtMs = 0;

  private backoffUntilMs = Number.NEGATIVE_INFINITY;

  private consecutiveBackoffs = 0;

  private readonly startTimesMs: number[] = [];

  /**
   * @param record - committed record
   * @param region - region of its availability zone
   * @param distance - distance from this host
   * @param linkMs - one-way delay to it
   * @param coldUntilMs - monotonic time until which it is cold
   */
  constructor(
    public record: RegisteredBackend,
    readonly region: string,
    readonly distance: Distance,
    public linkMs: number,
    public coldUntilMs: number,
  ) {}

  isCold(nowMs: number): boolean {
    return nowMs < this.coldUntilMs;
  }

  isBackingOff(nowMs: number): boolean {
    return nowMs < this.backoffUntilMs;
  }

  /**
   * Calls that run or wait there, as far as known.
   *
   * @param nowMs - monotonic time
   * @param defaultPerSlot - load of each slot of its place, which holds where it reported long ago
   */
  load(nowMs: number, defaultPerSlot: number): number {
    const reportWeight = 0.5 ** ((nowMs - this.reportedAtMs) / reportHalfLifeMs);
    const defaultLoad = defaultPerSlot * this.record.slots;
    return (
      this.inFlight + this.otherHostsInFlight * reportWeight + defaultLoad * (1 - reportWeight)
    );
  }

  /** Calls of all hosts that it reported last; undefined where that was too long ago. */
  reportedLoad(nowMs: number): number | undefined {
    return nowMs - this.reportedAtMs <= maxReportAgeMs ? this.reportedCalls : undefined;
  }

  /** Factor on the expected time of an answer. */
  slownessAt(nowMs: number): number {
    return 1 + (this.slowness - 1) * this.penaltyDecay(nowMs);
  }

  /** Share of the latest calls that failed. */
  failureShareAt(nowMs: number): number {
    return this.failureShare * this.penaltyDecay(nowMs);
  }

  /** Time since the oldest call in flight was sent. */
  oldestInFlightMs(nowMs: number): number {
    const oldest = this.startTimesMs[0];
    return oldest === undefined ? 0 : nowMs - oldest;
  }

  /** Takes note of a call that is sent. */
  start(nowMs: number): void {
    this.inFlight += 1;
    this.startTimesMs.push(nowMs);
  }

  /**
   * Takes note of the end of a call.
   *
   * @param startedAtMs - time that `start` was told
   */
  end(startedAtMs: number): void {
    this.inFlight -= 1;
    const at = this.startTimesMs.indexOf(startedAtMs);
    if (at >= 0) this.startTimesMs.splice(at, 1);
  }

  /** Takes note of the load that came with an answer; the answered call counts no longer. */
  recordLoad({ running, waiting }: ReportedLoad, nowMs: number): void {
    this.reportedCalls = running + waiting;
    this.otherHostsInFlight = Math.max(0, this.reportedCalls - this.inFlight);
    this.reportedAtMs = nowMs;
  }

  /** Takes note of how a call ended. */
  recordHealth({ isFailure, slowness }: HealthSample, nowMs: number): void {
    const decay = this.penaltyDecay(nowMs);
    const decayedFailureShare = this.failureShare * decay;
    this.failureShare =
      decayedFailureShare + newestOutcomeWeight * (Number(isFailure) - decayedFailureShare);
    const decayedSlowness = 1 + (this.slowness - 1) * decay;
    this.slowness =
      slowness === undefined
        ? decayedSlowness
        : decayedSlowness + newestOutcomeWeight * (slowness - decayedSlowness);
    this.penaltiesAtMs = nowMs;
    if (!isFailure) this.consecutiveBackoffs = 0;
  }

  /** Sends it no calls for a while, because it could not be reached. */
  backOff(nowMs: number): void {
    this.backoffUntilMs =
      nowMs + Math.min(maxBackoffMs, initialBackoffMs * 2 ** this.consecutiveBackoffs);
    this.consecutiveBackoffs += 1;
  }

  private penaltyDecay(nowMs: number): number {
    return 0.5 ** ((nowMs - this.penaltiesAtMs) / penaltyHalfLifeMs);
  }
}
