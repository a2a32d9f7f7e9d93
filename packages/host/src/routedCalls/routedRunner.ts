import { endToEndFields, fieldValue } from '@buckthornlug/core/calls/headerFields.js';
import { parseRetryAfterMs } from '@buckthornlug/core/calls/retryAfter.js';
import { recordExchange } from '@buckthornlug/core/placement/exchangeFeedback.js';
import { parseReportedLoad } from '@buckthornlug/core/placement/reportedLoad.js';
import type { ScoredBackend } from '@buckthornlug/core/placement/placementTypes.js';
import type { TrackedBackend } from '@buckthornlug/core/placement/trackedBackend.js';
import { RetryBudget } from '@buckthornlug/core/retries/retryBudget.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { CallFields } from '@buckthornlug/protocol/settings/settingsSchema.js';

import type { RequestBody } from '../calls/requestBody.js';
import type { LeavingBackend } from '../routing/routingPollSchema.js';
import type { HostContext } from '../runtime/hostTypes.js';
import type { BackendAgent } from './backendConnections.js';
import {
  exchange,
  type AnswerHead,
  type ExchangeResult,
  type ExchangeTimes,
} from './backendExchange.js';
import { CongestionGate } from './congestionGate.js';
import {
  claimsNotRun,
  classifyExchange,
  misdirectedStatus,
  promisesWithoutProof,
} from './exchangeOutcome.js';
import { isStoppedByHost, stoppingFailure, type MayTakeRoutedCall } from './plannedStop.js';
import type { RoutedCall } from './routedCallsTypes.js';
import type { FinalDecision, RoutedPools, AcquiredSlot } from './routedPools.js';
import { hasEnded, notRunRetryAfterMs, turnAwayFailure, unsentCallFailure } from './unsentCalls.js';

/** Sends a routed call to one backend server after another until it is answered or fails. */

const unavailableStatus = 503;
const fullSharePermille = 1000;
/** Time limit for a new connection, without its round trips. */
const baseConnectTimeoutMs = 250;
/** Round trips that are added to the time limit for a new connection. */
const connectRoundTrips = 3;
/** Attempts that may fail to connect before a call fails; `maxAttempts` does not count them. */
const maxUnsentAttempts = 4;

/** Dependencies and limits of `RoutedRunner`. */
export interface RunnerParts {
  readonly context: HostContext;
  readonly pools: RoutedPools;
  readonly agent: BackendAgent;
  readonly callFields: CallFields;
  readonly retryPermille: number;
  readonly retryBurst: number;
  /** Tells the control hosts that a backend server announced its departure. */
  readonly reportLeaving: (backend: LeavingBackend) => void;
  readonly mayTake: MayTakeRoutedCall;
}

/** Outcome of a call. */
export type RoutedOutcome =
  | {
      readonly end: 'answered';
      readonly result: Extract<ExchangeResult, { readonly end: 'answered' | 'streaming' }>;
      readonly backendId: string;
    }
  | { readonly end: 'failed'; readonly failure: Failure; readonly backendId?: string };

/** Outcome of one attempt. */
type AttemptOutcome =
  | Extract<RoutedOutcome, { readonly end: 'answered' }>
  /** The call did not run on the backend server; `hasArrived` is set if the request reached it. */
  | { readonly end: 'notRun'; readonly failure: Failure; readonly hasArrived: boolean }
  /** The call may have run on the backend server. */
  | { readonly end: 'unknown'; readonly failure: Failure }
  /** The caller hung up or the time limit passed. */
  | { readonly end: 'givenUp'; readonly failure: Failure };

/** Estimates behind a placement, as log fields. */
function describeCandidate(candidate: ScoredBackend) {
  const { backend, isWarm, choice, homeShare, expectedMs, load, waitMs, costMs } = candidate;
  const { backendId, availabilityZone } = backend.record;
  return {
    backendId,
    availabilityZone,
    isWarm,
    choice,
    homeShare: Math.round(homeShare * fullSharePermille) / fullSharePermille,
    expectedMs: Math.round(expectedMs),
    load: Math.round(load * 10) / 10,
    waitMs: Math.round(waitMs),
    costMs: Math.round(costMs),
  };
}

/** Runs the routed calls of an entry host. */
export class RoutedRunner {
  private readonly retryBudgets = new Map<string, RetryBudget>();

  private readonly congestionGate: CongestionGate;

  constructor(private readonly parts: RunnerParts) {
    this.congestionGate = new CongestionGate(parts.context);
  }

  /** Makes attempts at a call until it is answered, or may not be retried. */
  async run(call: RoutedCall, body: RequestBody): Promise<RoutedOutcome> {
    this.getOrCreateRetryBudget(call.service).recordCall();
    let arrivedAttempts = 0;
    let unsentAttempts = 0;
    // The first attempt that may have run the call; no later failure may state that it did not run.
    let firstUnknownFailure: Failure | undefined;
    const failedOutcome = (problem: Failure, backendId?: string): RoutedOutcome => ({
      end: 'failed',
      failure: firstUnknownFailure ?? problem,
      ...(backendId === undefined ? {} : { backendId }),
    });
    const congestion = this.congestionGate.refuse(call);
    if (congestion !== undefined) return failedOutcome(congestion);
    for (;;) {
      const placement = await this.parts.pools.place(call);
      if (call.signal.aborted || call.hasCallerLeft()) {
        if (placement.decision === 'send') this.parts.pools.release(placement);
        return failedOutcome(unsentCallFailure(call));
      }
      if (placement.decision === 'turnAway') {
        this.logPlacement(call, placement);
        return failedOutcome(turnAwayFailure(placement, this.parts.context.random));
      }
      // The call may have waited for a slot since it was accepted.
      if (!this.parts.mayTake(call)) {
        this.parts.pools.release(placement);
        return failedOutcome(stoppingFailure());
      }
      const { backendId } = placement.place.backend.record;
      call.tried.add(backendId);
      const outcome = await this.attempt(call, placement, body);
      if (outcome.end === 'answered') return outcome;
      if (outcome.end === 'givenUp') return failedOutcome(outcome.failure, backendId);
      if (outcome.end === 'unknown') firstUnknownFailure ??= outcome.failure;
      const hasArrived = outcome.end === 'unknown' || outcome.hasArrived;
      arrivedAttempts += Number(hasArrived);
      unsentAttempts += Number(!hasArrived);
      const isSafeToRepeat = outcome.end === 'notRun' || call.route.execution === 'idempotent';
      const mayResend =
        isSafeToRepeat && body.form === 'whole' && unsentAttempts <= maxUnsentAttempts;
      if (
        !mayResend ||
        arrivedAttempts >= call.route.maxAttempts ||
        this.congestionGate.refuse(call) !== undefined ||
        !this.trySpendRetry(call, arrivedAttempts)
      ) {
        return failedOutcome(outcome.failure, backendId);
      }
      this.parts.context.metrics.count('routed_calls_retried_total', { service: call.service });
    }
  }

  private getOrCreateRetryBudget(service: string): RetryBudget {
    const { retryPermille, retryBurst, pools } = this.parts;
    // The part of this host shrinks as it learns of others; a host that starts knows few of them.
    const localBurst = Math.max(1, Math.floor(retryBurst / pools.entryHostCount()));
    const existing = this.retryBudgets.get(service);
    if (existing !== undefined) {
      existing.setBurst(localBurst);
      return existing;
    }
    const created = new RetryBudget(retryPermille, localBurst);
    this.retryBudgets.set(service, created);
    return created;
  }

  /** Spends a retry of the budget; retries are free until an attempt reached a backend server. */
  private trySpendRetry(call: RoutedCall, arrivedAttempts: number): boolean {
    return arrivedAttempts === 0 || this.getOrCreateRetryBudget(call.service).trySpend();
  }

  private buildRequestFields(call: RoutedCall, backendId: string, body: RequestBody): string[] {
    const { callFields, context } = this.parts;
    const replaced = new Set([callFields.timeLeftMs, callFields.expectedBackend, 'content-length']);
    const endToEnd = endToEndFields(call.request.rawHeaders);
    const sentFields: string[] = [];
    for (let index = 0; index + 1 < endToEnd.length; index += 2) {
      const name = endToEnd[index] ?? '';
      if (!replaced.has(name.toLowerCase())) sentFields.push(name, endToEnd[index + 1] ?? '');
    }
    const timeLeftMs = Math.max(1, Math.floor(call.callerDeadlineAtMs - context.clock.nowMs()));
    sentFields.push(
      callFields.timeLeftMs,
      String(timeLeftMs),
      callFields.expectedBackend,
      backendId,
    );
    const length = call.request.headers['content-length'];
    if (body.form === 'whole' && body.bytes !== null) {
      sentFields.push('Content-Length', String(body.bytes.length));
    } else if (length !== undefined) sentFields.push('Content-Length', length);
    // Node.js frames a body of unknown length by itself only for methods that usually have one.
    else if (body.form === 'stream') sentFields.push('Transfer-Encoding', 'chunked');
    return sentFields;
  }

  private async attempt(
    call: RoutedCall,
    slot: AcquiredSlot,
    body: RequestBody,
  ): Promise<AttemptOutcome> {
    const { context, agent, callFields, pools } = this.parts;
    const { backend } = slot.place;
    const { backendId, endpoint } = backend.record;
    const startedAtMs = context.clock.nowMs();
    this.logPlacement(call, slot);
    const { result, times } = await exchange({
      agent,
      endpoint,
      method: call.request.method ?? 'GET',
      path: call.request.url ?? '/',
      fields: this.buildRequestFields(call, backendId, body),
      body: body.form === 'whole' ? body.bytes : body.open(),
      connectTimeoutMs: baseConnectTimeoutMs + connectRoundTrips * 2 * backend.linkMs,
      signal: call.signal,
      onConnected: (connectMs) => {
        if (connectMs > 0) pools.recordConnect(backend, connectMs);
        this.congestionGate.recordConnect(backend, connectMs);
      },
      findSendObstacle: () => {
        if (hasEnded(call, context.clock.nowMs())) return 'callEnded';
        return pools.isUsable(backend) ? undefined : 'outOfUse';
      },
      isAnswerToRequest: (head, isReusedConnection) => {
        const echoedId = fieldValue(head.fields, callFields.attemptId);
        if (echoedId !== undefined) return echoedId === call.requestId;
        return !isReusedConnection || !claimsNotRun(head, callFields);
      },
      nowMs: context.clock.nowMs,
    });
    const nowMs = context.clock.nowMs();
    pools.release(slot);
    context.metrics.count('backend_exchanges_total', { service: call.service, end: result.end });
    if ('head' in result) this.obeyAnswer(backend, result.head, nowMs);
    const outcome = this.toAttemptOutcome(call, slot, result, nowMs);
    this.recordFeedback(call, slot, result, nowMs - startedAtMs - times.connectMs);
    this.logAttempt(call, slot, result, times, nowMs - startedAtMs);
    return outcome;
  }

  /**
   * Follows what a backend server asks for in an answer: no more calls because it is leaving, or
   * none for some time. An answer of another process at its address asks nothing of it.
   */
  private obeyAnswer(backend: TrackedBackend, head: AnswerHead, nowMs: number): void {
    const { context, callFields, pools, reportLeaving } = this.parts;
    const { backendId, bornAtMs } = backend.record;
    if (head.status === misdirectedStatus) return;
    if (fieldValue(head.fields, callFields.leaving) !== undefined && pools.markLeaving(backend)) {
      context.log.info('backendLeaving', { backendId, bornAtMs });
      reportLeaving({ backendId, bornAtMs });
    }
    if (head.status !== unavailableStatus) return;
    const retryAfter = fieldValue(head.fields, 'retry-after');
    const pauseMs = parseRetryAfterMs(retryAfter, context.clock.wallMs());
    if (pauseMs === undefined) return;
    backend.pauseUntil(nowMs + pauseMs);
    context.metrics.count('backend_pauses_total', { service: backend.record.service });
    context.log.info('backendPaused', { backendId, pauseMs: Math.round(pauseMs) });
  }

  /**
   * Derives the outcome of an attempt. Backs off from a backend server that could not be reached or
   * answered that the request was misdirected.
   */
  private toAttemptOutcome(
    call: RoutedCall,
    { place: { backend } }: AcquiredSlot,
    result: ExchangeResult,
    nowMs: number,
  ): AttemptOutcome {
    const { backendId } = backend.record;
    if (result.end === 'notSent') {
      backend.backOff(nowMs);
      const problem = failure('BL3003', `backend server "${backendId}": ${result.problem}`, {
        retryAfterMs: notRunRetryAfterMs,
      });
      return { end: 'notRun', failure: problem, hasArrived: false };
    }
    if (result.end === 'bodyFailed') {
      const hangUp = failure('BL3017', 'the caller hung up');
      return { end: 'givenUp', failure: call.hasCallerLeft() ? hangUp : result.failure };
    }
    if (result.end === 'broken') {
      return { end: 'unknown', failure: failure('BL3006', `"${backendId}": ${result.problem}`) };
    }
    if (result.end === 'aborted') {
      if (call.hasCallerLeft()) {
        return { end: 'givenUp', failure: failure('BL3017', 'the caller hung up') };
      }
      const cause = isStoppedByHost(call) ? 'the host stopped' : 'the time limit passed';
      const problem = result.wasSent
        ? failure('BL3005', `${cause} at backend server "${backendId}"`)
        : unsentCallFailure(call);
      return { end: 'givenUp', failure: problem };
    }
    const { status } = result.head;
    const { callFields } = this.parts;
    if (call.route.execution === 'single' && promisesWithoutProof(result.head, callFields)) {
      if (result.end === 'streaming') result.rest.destroy();
      const detail = `"${backendId}" answered ${status} without saying that the call did not run`;
      return { end: 'unknown', failure: failure('BL3006', detail) };
    }
    const isMisdirected = status === misdirectedStatus;
    const isNotRun = claimsNotRun(result.head, callFields);
    if (!isNotRun || result.end !== 'answered') return { end: 'answered', result, backendId };
    if (isMisdirected) backend.backOff(nowMs);
    const problem = failure('BL3015', `backend server "${backendId}" answered ${status}`, {
      retryAfterMs: notRunRetryAfterMs,
    });
    return { end: 'notRun', failure: problem, hasArrived: true };
  }

  /** Updates the health of the backend server and the answer time estimates from an exchange. */
  private recordFeedback(
    call: RoutedCall,
    { place: candidate }: AcquiredSlot,
    result: ExchangeResult,
    elapsedMs: number,
  ): void {
    const { context, callFields, pools } = this.parts;
    const end = classifyExchange(call, result, callFields);
    if (end === undefined) return;
    const reported =
      'head' in result
        ? parseReportedLoad(fieldValue(result.head.fields, callFields.load))
        : undefined;
    const outcome = { end, elapsedMs, ...(reported === undefined ? {} : { reported }) };
    recordExchange(pools.answerTimes, call, candidate, outcome, context.clock.nowMs());
  }

  private logPlacement(call: RoutedCall, placement: FinalDecision): void {
    const { requestId, service, routeId, rank, routingVersion, objectKey } = call;
    const { plannedRegion = 'none' } = placement;
    const { pools, context } = this.parts;
    const { log, clock, metrics } = context;
    const nowMs = clock.nowMs();
    const targetLeftMs = Math.round(call.targetAtMs - nowMs);
    const placed = { service, plannedRegion };
    const common = { requestId, ...placed, routeId, rank, routingVersion, objectKey, targetLeftMs };
    const outcome = placement.decision === 'send' ? placement.place.choice : placement.reason;
    metrics.count('routed_calls_by_region_total', { ...placed, outcome });
    if (placement.decision === 'send') {
      log.info('callSent', {
        ...common,
        ...describeCandidate(placement.place),
        readMs: Math.round(nowMs - call.arrivedAtMs),
        ...pools.describeState(),
      });
      return;
    }
    const { reason, retryAfterMs, best } = placement;
    metrics.count('routed_calls_turned_away_total', { service, reason });
    log.info('callTurnedAway', {
      ...common,
      reason,
      retryAfterMs: Math.round(retryAfterMs),
      ...(best === undefined ? {} : describeCandidate(best)),
      waitingCalls: pools.waitingCalls(),
    });
  }

  private logAttempt(
    call: RoutedCall,
    { place: { backend, isWarm } }: AcquiredSlot,
    result: ExchangeResult,
    times: ExchangeTimes,
    elapsedMs: number,
  ): void {
    this.parts.context.log.info('exchangeEnded', {
      requestId: call.requestId,
      service: call.service,
      backendId: backend.record.backendId,
      registryRevision: backend.record.revision,
      end: result.end,
      ...('head' in result ? { status: result.head.status } : {}),
      ...('problem' in result ? { problem: result.problem } : {}),
      ...('wasSent' in result ? { wasSent: result.wasSent } : {}),
      isWarm,
      isNewConnection: times.isNewConnection,
      connectMs: Math.round(times.connectMs),
      elapsedMs: Math.round(elapsedMs),
      unconfirmedMs: this.parts.pools.describeState().unconfirmedMs,
    });
  }
}
