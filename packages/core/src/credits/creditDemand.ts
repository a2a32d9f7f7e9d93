import type { RemoteZone } from './remoteZones.js';

/** Decides when a pool under pressure asks which other zone for how many credits. */

/** Gain in expected time below which a call stays at home. */
const minGainMs = 3;
/** Credits asked for at once at most. */
const maxCreditsPerRequest = 64;
const initialBackoffMs = 20;
const maxBackoffMs = 640;

/** Pressure of one rank on a pool. */
export interface RankPressure {
  readonly rank: number;
  /** Calls that wait for a slot at home. */
  readonly waitingCalls: number;
  /** Calls that can only be answered elsewhere. */
  readonly callsAwaitingCredit: number;
  /** Expected wait of a new call at home. */
  readonly expectedWaitMs: number;
  /** Credits held or asked for. */
  readonly availableCredits: number;
  /** Time that a call of the rank may take to reach a slot. */
  readonly maxWaitMs: number;
}

/** What is known of one zone's answers to requests for credits. */
interface ZoneAnswers {
  isRequestPending: boolean;
  backoffMs: number;
  notBeforeMs: number;
  expectedWaitMs: number;
}

/** A request for credits. */
export interface ZoneCreditRequest {
  readonly zone: RemoteZone;
  readonly rank: number;
  readonly want: number;
}

/** Credits that a zone should be asked for. */
function creditsToRequest(pressure: RankPressure, zone: RemoteZone, answers: ZoneAnswers): number {
  const roundTripMs = 2 * zone.oneWayDelayMs;
  const untilCreditMs = roundTripMs + answers.expectedWaitMs;
  if (untilCreditMs > pressure.maxWaitMs) return 0;
  const gainMs = pressure.expectedWaitMs - untilCreditMs - roundTripMs;
  let want = pressure.callsAwaitingCredit;
  if (gainMs > minGainMs && Number.isFinite(gainMs)) {
    want += Math.ceil(pressure.waitingCalls * (gainMs / pressure.expectedWaitMs));
  }
  return Math.min(maxCreditsPerRequest, want - pressure.availableCredits);
}

/** Keeps what other zones answered, and decides whom to ask next. */
export class CreditDemand {
  private readonly answers = new Map<string, ZoneAnswers>();

  /**
   * Decides on requests for credits.
   *
   * @param pressures - pressure of each rank, the most urgent first
   * @param zones - zones that may be asked, the nearest first
   * @param nowMs - current time
   */
  next(
    pressures: readonly RankPressure[],
    zones: readonly RemoteZone[],
    nowMs: number,
  ): ZoneCreditRequest[] {
    const requests: ZoneCreditRequest[] = [];
    for (const pressure of pressures) {
      for (const zone of zones) {
        const answers = this.answersOf(zone.availabilityZone, pressure.rank);
        if (answers.isRequestPending || nowMs < answers.notBeforeMs) continue;
        const want = creditsToRequest(pressure, zone, answers);
        if (want <= 0) continue;
        answers.isRequestPending = true;
        requests.push({ zone, rank: pressure.rank, want });
        break;
      }
    }
    return requests;
  }

  /**
   * Notes the answer to a request.
   *
   * @param request - the request
   * @param granted - credits granted
   * @param expectedWaitMs - expected wait there
   * @param nowMs - current time
   */
  recordAnswer(
    request: ZoneCreditRequest,
    granted: number,
    expectedWaitMs: number,
    nowMs: number,
  ): void {
    const answers = this.answersOf(request.zone.availabilityZone, request.rank);
    answers.isRequestPending = false;
    answers.expectedWaitMs = expectedWaitMs;
    if (granted >= request.want) {
      answers.backoffMs = initialBackoffMs;
      return;
    }
    answers.notBeforeMs = nowMs + answers.backoffMs;
    if (granted === 0) answers.backoffMs = Math.min(maxBackoffMs, answers.backoffMs * 2);
    else answers.backoffMs = initialBackoffMs;
  }

  /**
   * Tells whether no zone may be asked for a rank now, so that waiting for a credit is of no use.
   *
   * @param rank - index of the rank
   * @param zones - zones that may be asked
   * @param nowMs - current time
   */
  isEveryZoneBackingOff(rank: number, zones: readonly RemoteZone[], nowMs: number): boolean {
    for (const zone of zones) {
      const answers = this.answersOf(zone.availabilityZone, rank);
      if (answers.isRequestPending || nowMs >= answers.notBeforeMs) return false;
    }
    return true;
  }

  private answersOf(availabilityZone: string, rank: number): ZoneAnswers {
    const key = `${availabilityZone}/${rank}`;
    const known = this.answers.get(key);
    if (known !== undefined) return known;
    const created: ZoneAnswers = {
      isRequestPending: false,
      backoffMs: initialBackoffMs,
      notBeforeMs: Number.NEGATIVE_INFINITY,
      expectedWaitMs: 0,
    };
    this.answers.set(key, created);
    return created;
  }
}
