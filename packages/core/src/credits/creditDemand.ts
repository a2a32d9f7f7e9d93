import type { RemoteZone } from './remoteZones.js';

/** Decides how many credits an overloaded pool requests, and from which availability zones. */

/** Smallest saving of expected time for which a waiting call is sent to another zone. */
const minGainMs = 3;
const maxCreditsPerRequest = 64;
const initialBackoffMs = 20;
const maxBackoffMs = 640;

/** Load of one rank of a pool, which determines its demand for credits. */
export interface RankPressure {
  readonly rank: number;
  /** Calls that wait for a slot of the local pool. */
  readonly waitingCalls: number;
  /** Calls that only another zone can answer. */
  readonly callsAwaitingCredit: number;
  /** Expected wait of a new call in the local pool. */
  readonly expectedWaitMs: number;
  /** Credits held or requested. */
  readonly availableCredits: number;
  /** Longest time that a call of the rank may take to reach a slot. */
  readonly maxWaitMs: number;
}

/** State of the credit requests to one zone for one rank, from its answers so far. */
interface ZoneAnswers {
  isRequestPending: boolean;
  backoffMs: number;
  /** No request is sent before this time. */
  notBeforeMs: number;
  /** Expected wait of a call in the zone. */
  expectedWaitMs: number;
}

/** A request for credits to one zone. */
export interface ZoneCreditRequest {
  readonly zone: RemoteZone;
  readonly rank: number;
  readonly want: number;
}

/** Number of credits to request from a zone; zero or less where a request does not pay off. */
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

/** Tracks the answers of other zones and chooses the zones to request credits from. */
export class CreditDemand {
  private readonly answers = new Map<string, ZoneAnswers>();

  /**
   * Returns the requests to send now, at most one for each rank.
   *
   * @param pressures - load of each rank, the most urgent first
   * @param zones - zones that may get a request, the nearest first
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
   * Records the answer to a request.
   *
   * @param granted - number of credits granted
   * @param expectedWaitMs - expected wait in the zone
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

  /** Whether every zone is in backoff for a rank, so that waiting for a credit is useless. */
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
