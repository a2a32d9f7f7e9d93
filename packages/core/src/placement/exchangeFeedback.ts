import type { AnswerTimeEstimates } from './answerTimeEstimates.js';
import type { ReportedLoad } from './trackedBackend.js';
import type { PlaceableCall, ScoredBackend } from './placementTypes.js';

/**
 * What an exchange teaches about a backend server and about the times of a route. A call whose time
 * limit passed counts as well: times learned from answers alone stay short while every slow run is
 * broken off, and a backend server that never answers would look like an idle one.
 */

/** Largest factor on the expected time that one exchange may show. */
const maxSlowness = 10;

/** How an exchange ended, as far as it tells anything. */
export interface ExchangeOutcome {
  /** `failed` covers broken answers, failures and a full queue; `notRun` other refusals. */
  readonly end: 'answered' | 'failed' | 'notRun' | 'timedOut';
  /** Time from dispatch to the end without the time for a connection. */
  readonly elapsedMs: number;
  /** Load that came with the answer. */
  readonly reported?: ReportedLoad;
}

/**
 * Takes note of the end of an exchange.
 *
 * @param estimates - times of the routes
 * @param call - call that was sent
 * @param place - place that was chosen for it
 * @param outcome - how it ended
 * @param nowMs - monotonic time
 */
export function recordExchange(
  estimates: AnswerTimeEstimates,
  call: Pick<PlaceableCall, 'routeId' | 'targetMs'>,
  { backend, isWarm, expectedMs, load }: ScoredBackend,
  { end, elapsedMs, reported }: ExchangeOutcome,
  nowMs: number,
): void {
  if (reported !== undefined) backend.recordLoad(reported, nowMs);
  const hadSlot = load <= backend.record.slots - 1;
  const isTimingUsable = hadSlot && (end === 'answered' || end === 'timedOut');
  const isFailure = end === 'failed' || end === 'timedOut';
  if (!isTimingUsable) {
    backend.recordHealth({ isFailure }, nowMs);
    return;
  }
  const processingMs = Math.max(1, elapsedMs - 2 * backend.linkMs);
  const slowness = Math.min(maxSlowness, processingMs / Math.max(1, expectedMs));
  backend.recordHealth({ isFailure, slowness }, nowMs);
  estimates.record(call.routeId, call.targetMs, isWarm, processingMs);
}
