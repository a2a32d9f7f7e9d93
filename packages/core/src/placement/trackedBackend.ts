import type { RegisteredBackend } from '@buckthornlug/protocol/registry/registrySchema.js';

import type { ReportedLoad } from './reportedLoad.js';
import { WarmObjects } from './warmObjects.js';

/** State of a registered backend server, as an entry host tracks it. */

/** Distance of a backend server from this host: the same zone, the same region or another region. */
export type Distance = 'zone' | 'region' | 'far';

/** Weight of the newest outcome in the moving averages; about the last ten outcomes count. */
const newestOutcomeWeight = 0.2;
/** Half-life of the failure share and the slowness of a backend server. */
const penaltyHalfLifeMs = 3000;
/** Age at which a reported load counts half as much as a new one. */
const reportHalfLifeMs = 300;
/** Age at which a reported work time factor has moved half of the way back to the usual time. */
const workTimeHalfLifeMs = 250;
/**
 * Age up to which a reported load counts for the load of a group of backend servers; where there are
 * many of them, a host rarely calls any single one.
 */
const maxReportAgeMs = 1500;
/**
 * Calls per slot that a report counts for at most. A backend server queues a few calls for each slot; a garbled
 * report must not make the whole group look full.
 */
const maxReportedCallsPerSlot = 10;
/** First backoff after a backend server could not be reached; each further one is twice as long. */
const initialBackoffMs = 500;
const maxBackoffMs = 8000;

/** Outcome of an exchange, for the health of the backend server. */
export interface HealthSample {
  readonly isFailure: boolean;
  /** Actual time relative to the expected one; absent if it is not known or the call had queued. */
  readonly slowness?: number;
}

/** This host's calls in flight, the reported load and the health of one backend server. */
export class TrackedBackend {
  /** Calls of this host that are in flight. */
  inFlight = 0;

  /** Time since which it has been silent; undefined while it reports. */
  silentSinceMs: number | undefined;

  /** Objects that it handled recently for this host. */
  readonly warmObjects = new WarmObjects();

  private otherHostsInFlight = 0;

  private reportedCalls = 0;

  private reportedAtMs = Number.NEGATIVE_INFINITY;

  private workTimeFactor = 1;

  private workTimeReportedAtMs = 0;

  private slowness = 1;

  private failureShare = 0;

  private penaltiesUpdatedAtMs = 0;

  private backoffUntilMs = Number.NEGATIVE_INFINITY;

  private consecutiveBackoffs = 0;

  private pausedUntilMs = Number.NEGATIVE_INFINITY;

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

  /** Whether it has asked this host to send it nothing for now. */
  isPaused(nowMs: number): boolean {
    return nowMs < this.pausedUntilMs;
  }

  /** Time at which its backoff and the pause it asked for are over. */
  returnsAtMs(): number {
    return Math.max(this.backoffUntilMs, this.pausedUntilMs);
  }

  /**
   * Estimated number of calls that run or wait there. The older the last report, the more the default
   * load counts.
   *
   * @param nowMs - monotonic time
   * @param defaultPerSlot - load per slot that is assumed without a recent report
   */
  load(nowMs: number, defaultPerSlot: number): number {
    const reportWeight = 0.5 ** ((nowMs - this.reportedAtMs) / reportHalfLifeMs);
    const defaultLoad = defaultPerSlot * this.record.slots;
    return (
      this.inFlight + this.otherHostsInFlight * reportWeight + defaultLoad * (1 - reportWeight)
    );
  }

  /** Calls of all hosts in its last report; undefined if the report is too old. */
  reportedLoad(nowMs: number): number | undefined {
    return nowMs - this.reportedAtMs <= maxReportAgeMs ? this.reportedCalls : undefined;
  }

  /**
   * Reported factor on the time that work takes there now. Other work on its machine comes and goes
   * within a second, so the report decays to 1 quickly.
   */
  workTimeFactorAt(nowMs: number): number {
    const reportWeight = 0.5 ** ((nowMs - this.workTimeReportedAtMs) / workTimeHalfLifeMs);
    return 1 + (this.workTimeFactor - 1) * reportWeight;
  }

  /** Factor on the expected answer time, which decays to 1. */
  slownessAt(nowMs: number): number {
    return 1 + (this.slowness - 1) * this.penaltyDecay(nowMs);
  }

  /** Share of the latest calls that failed, which decays to 0. */
  failureShareAt(nowMs: number): number {
    return this.failureShare * this.penaltyDecay(nowMs);
  }

  /** Time since the oldest call in flight was sent. */
  oldestInFlightMs(nowMs: number): number {
    const oldest = this.startTimesMs[0];
    return oldest === undefined ? 0 : nowMs - oldest;
  }

  /** Records that a call is sent. */
  start(nowMs: number): void {
    this.inFlight += 1;
    this.startTimesMs.push(nowMs);
  }

  /**
   * Records the end of a call.
   *
   * @param startedAtMs - the time passed to `start`
   */
  end(startedAtMs: number): void {
    this.inFlight -= 1;
    const at = this.startTimesMs.indexOf(startedAtMs);
    if (at >= 0) this.startTimesMs.splice(at, 1);
  }

  /** Records the load reported with an answer, which no longer includes the answered call. */
  recordLoad({ running, waiting, workTimeFactor }: ReportedLoad, nowMs: number): void {
    if (workTimeFactor !== undefined) {
      this.workTimeFactor = workTimeFactor;
      this.workTimeReportedAtMs = nowMs;
    }
    this.reportedCalls = Math.min(running + waiting, maxReportedCallsPerSlot * this.record.slots);
    this.otherHostsInFlight = Math.max(0, this.reportedCalls - this.inFlight);
    this.reportedAtMs = nowMs;
  }

  /** Records the outcome of an exchange in the moving averages; all but a failure reset the backoff. */
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
    this.penaltiesUpdatedAtMs = nowMs;
    if (!isFailure) this.consecutiveBackoffs = 0;
  }

  /** Sends it no calls for a while, after it could not be reached. */
  backOff(nowMs: number): void {
    this.backoffUntilMs =
      nowMs + Math.min(maxBackoffMs, initialBackoffMs * 2 ** this.consecutiveBackoffs);
    this.consecutiveBackoffs += 1;
  }

  /**
   * Sends it nothing for the time it asked for; an earlier request for a longer time stays in force.
   */
  pauseUntil(untilMs: number): void {
    this.pausedUntilMs = Math.max(this.pausedUntilMs, untilMs);
  }

  private penaltyDecay(nowMs: number): number {
    return 0.5 ** ((nowMs - this.penaltiesUpdatedAtMs) / penaltyHalfLifeMs);
  }
}
