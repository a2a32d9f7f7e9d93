import type { AnswerTimeEstimates } from './answerTimeEstimates.js';
import type { PlaceableCall, ScoredBackend } from './placementTypes.js';
import type { ReportedLoad } from './reportedLoad.js';

/**
 * Updates the state of a backend server and the answer time estimates of a route after an exchange.
 * Calls that hit their time limit count as well: estimates from answers alone would stay short while
 * every slow call is aborted, and a backend server that never answers would look idle.
 */

/** Upper limit of the slowness that one exchange can show. */
const maxSlowness = 10;

/** End of an exchange that says something about the backend server. */
export interface ExchangeOutcome {
  /** `failed` covers broken answers, failures and a full queue; `notRun` covers other refusals. */
  readonly end: 'answered' | 'failed' | 'notRun' | 'timedOut';
  /** Time from dispatch to the end, without the time to open a connection. */
  readonly elapsedMs: number;
  /** Load reported with the answer. */
  readonly reported?: ReportedLoad;
}

/**
 * Records the end of an exchange.
 *
 * @param estimates - answer time estimates of all routes
 * @param call - call that was sent
 * @param place - backend server that was chosen, with the estimates at that time
 * @param outcome - how it ended
 * @param nowMs - monotonic time
 */
export function recordExchange(
  estimates: AnswerTimeEstimates,
  call: Pick<PlaceableCall, 'routeId' | 'targetMs' | 'objectKey'>,
  { backend, hasRunObject, expectedMs, load }: ScoredBackend,
  { end, elapsedMs, reported }: ExchangeOutcome,
  nowMs: number,
): void {
  if (reported !== undefined) backend.recordLoad(reported, nowMs);
  const { objectKey } = call;
  if (end === 'answered' && objectKey !== undefined) backend.warmObjects.record(objectKey);
  const hadSlot = load <= backend.record.slots - 1;
  const isTimingUsable = hadSlot && (end === 'answered' || end === 'timedOut');
  const isFailure = end === 'failed' || end === 'timedOut';
  if (!isTimingUsable) {
    backend.recordHealth({ isFailure }, nowMs);
    return;
  }
  const processingMs = Math.max(1, elapsedMs - 2 * backend.linkMs);
  // The first run for this host may be a later one, after calls of other hosts.
  const wasWarm = hasRunObject || objectKey === undefined ? hasRunObject : undefined;
  const typicalMs = estimates.record(call.routeId, call.targetMs, wasWarm, processingMs);
  // A first run is no sign of a slow backend server, although a later one was expected.
  const comparedMs = wasWarm === undefined ? Math.max(expectedMs, typicalMs) : expectedMs;
  const slowness = processingMs / Math.max(1, comparedMs);
  backend.recordHealth({ isFailure, slowness: Math.min(maxSlowness, slowness) }, nowMs);
}
