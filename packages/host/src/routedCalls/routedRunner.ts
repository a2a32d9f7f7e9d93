import { endToEndFields, fieldValue } from '@buckthornlug/core/calls/headerFields.js';
import {
  recordExchange,
  type ExchangeOutcome,
} from '@buckthornlug/core/placement/exchangeFeedback.js';
import type { ReportedLoad } from '@buckthornlug/core/placement/trackedBackend.js';
import type { ScoredBackend } from '@buckthornlug/core/placement/placementTypes.js';
import { RetryBudget } from '@buckthornlug/core/retries/retryBudget.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { CallFields } from '@buckthornlug/protocol/settings/settingsSchema.js';

import type { RequestBody } from '../calls/requestBody.js';
import type { HostContext, Random } from '../runtime/hostTypes.js';
import type { BackendAgent } from './backendConnections.js';
import { exchange, type ExchangeResult, type ExchangeTimes } from './backendExchange.js';
import type { RoutedCall } from './routedCallsTypes.js';
import type { FinalDecision, RoutedPools, TakenPlace } from './routedPools.js';

/** Sends a routed call to one backend server after another until it is answered or given up. */

const misdirectedStatus = 421;
const leastErrorStatus = 500;
/** Time for a new connection besides its round trip. */
const connectBaseMs = 250;
const roundTrips = 3;
/** Attempts that cost nothing because no connection came about, before a call is given up. */
const maxUnsent = 4;
/** Time after which a caller may try a service again that has no backend server. */
const noBackendRetryAfterMs = 300;

/** Largest deviation of a return from the time at which room is expected, as a part of it. */
const returnSpread = 0.25;

/** What the runner is given. */
export interface RunnerParts {
  readonly context: HostContext;
  readonly pools: RoutedPools;
  readonly agent: BackendAgent;
  readonly fields: CallFields;
  readonly retryPermille: number;
  readonly retryBurst: number;
}

type TurnedAway = Extract<FinalDecision, { readonly decision: 'turnAway' }>;

/** How a call ended. */
export type RoutedEnd =
  | {
      readonly end: 'answered';
      readonly result: Extract<ExchangeResult, { readonly end: 'answered' | 'streaming' }>;
      readonly backendId: string;
    }
  | { readonly end: 'failed'; readonly failure: Failure; readonly backendId?: string };

/** What one attempt proves. */
type AttemptEnd =
  | Extract<RoutedEnd, { readonly end: 'answered' }>
  /** The call did not run there; `arrived` tells whether it counts as a dispatch. */
  | { readonly end: 'notRun'; readonly failure: Failure; readonly arrived: boolean }
  /** The call may have run. */
  | { readonly end: 'unknown'; readonly failure: Failure }
  | { readonly end: 'givenUp'; readonly failure: Failure };

/** Reads the load that a backend server reports. */
function loadOf(fields: readonly string[], name: string): ReportedLoad | undefined {
  const [running, waiting, slots] = (fieldValue(fields, name) ?? '').split(',').map(Number);
  if (running === undefined || waiting === undefined || slots === undefined) return undefined;
  if (![running, waiting, slots].every((value) => Number.isFinite(value) && value >= 0)) {
    return undefined;
  }
  return { running, waiting, slots };
}

/** What the end of an exchange tells of the backend server; undefined where it tells nothing. */
function lessonOf(
  call: RoutedCall,
  result: ExchangeResult,
  fields: CallFields,
): ExchangeOutcome['end'] | undefined {
  if (result.end === 'notSent') return undefined;
  if (result.end === 'broken') return 'failed';
  if (result.end === 'aborted') {
    return result.wasSent && !call.response.destroyed ? 'timedOut' : undefined;
  }
  const { status, fields: answer } = result.head;
  if (status === misdirectedStatus || status >= leastErrorStatus) return 'failed';
  return fieldValue(answer, fields.notRun) === undefined ? 'answered' : 'notRun';
}

/** Spreads the return of callers around the time at which room is expected. */
function spread(retryAfterMs: number, random: Random): number {
  return retryAfterMs * (1 + returnSpread * (2 * random() - 1));
}

function turnedAway({ reason, retryAfterMs: roomInMs }: TurnedAway, random: Random): Failure {
  const retryAfterMs = spread(roomInMs, random);
  const more = { retryAfterMs };
  if (reason === 'noBackend') {
    const atLeastMs = Math.max(retryAfterMs, noBackendRetryAfterMs);
    return failure('BL3003', 'no backend server can take the call', { retryAfterMs: atLeastMs });
  }
  if (reason === 'targetMissed') return failure('BL3002', 'the target cannot be met', more);
  return failure('BL3002', 'the time limit passed before the call was sent', more);
}

/** The inputs of a placement, for the log. */
function describePlace({ backend, isWarm, expectedMs, load, waitMs, costMs }: ScoredBackend) {
  const { backendId, availabilityZone } = backend.record;
  return {
    backendId,
    availabilityZone,
    isWarm,
    expectedMs: Math.round(expectedMs),
    load: Math.round(load * 10) / 10,
    waitMs: Math.round(waitMs),
    costMs: Math.round(costMs),
  };
}

/** Failure of a call whose caller or time limit ended it before it was sent. */
function abortedBeforeSend(call: RoutedCall): Failure {
  if (call.response.destroyed) return failure('BL3017', 'the caller hung up');
  return failure('BL3002', 'the time limit passed before the call was sent', {
    retryAfterMs: noBackendRetryAfterMs,
  });
}

/** Runs the calls of an entry host. */
export class RoutedRunner {
  private readonly budgets = new Map<string, RetryBudget>();

  /**
   * @param parts - pools, connections and limits
   */
  constructor(private readonly parts: RunnerParts) {}

  /**
   * Runs a call to its end.
   *
   * @param call - accepted call
   * @param body - its body
   */
  async run(call: RoutedCall, body: RequestBody): Promise<RoutedEnd> {
    this.budgetOf(call.service).recordCall();
    let arrivals = 0;
    let unsent = 0;
    // Once an attempt may have run the call, no later one makes it a call that has not run.
    let mayHaveRun: Failure | undefined;
    const failed = (problem: Failure, backendId?: string): RoutedEnd => ({
      end: 'failed',
      failure: mayHaveRun ?? problem,
      ...(backendId === undefined ? {} : { backendId }),
    });
    for (;;) {
      const placed = await this.parts.pools.place(call);
      if (call.signal.aborted) {
        if (placed.decision === 'send') this.parts.pools.release(placed);
        return failed(abortedBeforeSend(call));
      }
      if (placed.decision === 'turnAway') {
        this.logPlacement(call, placed);
        return failed(turnedAway(placed, this.parts.context.random));
      }
      const { backendId } = placed.place.backend.record;
      call.tried.add(backendId);
      const attempt = await this.attempt(call, placed, body);
      if (attempt.end === 'answered') return attempt;
      if (attempt.end === 'givenUp') return failed(attempt.failure, backendId);
      if (attempt.end === 'unknown') mayHaveRun ??= attempt.failure;
      const hasArrived = attempt.end === 'unknown' || attempt.arrived;
      arrivals += Number(hasArrived);
      unsent += Number(!hasArrived);
      const isSafe = attempt.end === 'notRun' || call.route.execution === 'idempotent';
      const mayRepeat = isSafe && body.form === 'whole' && unsent <= maxUnsent;
      if (!mayRepeat || arrivals >= call.route.maxAttempts || !this.maySpend(call, arrivals)) {
        return failed(attempt.failure, backendId);
      }
      this.parts.context.metrics.count('routed_calls_retried_total', { service: call.service });
    }
  }

  private budgetOf(service: string): RetryBudget {
    const known = this.budgets.get(service);
    if (known !== undefined) return known;
    const { retryPermille, retryBurst, pools } = this.parts;
    const share = Math.max(1, Math.floor(retryBurst / pools.entryHostCount()));
    const created = new RetryBudget(retryPermille, share);
    this.budgets.set(service, created);
    return created;
  }

  /** A call that has not arrived anywhere yet costs nothing of the budget. */
  private maySpend(call: RoutedCall, arrivals: number): boolean {
    return arrivals === 0 || this.budgetOf(call.service).trySpend();
  }

  private requestFields(call: RoutedCall, backendId: string, body: RequestBody): string[] {
    const { fields, context } = this.parts;
    const replaced = new Set([fields.timeLeftMs, fields.expectedBackend, 'content-length']);
    const kept = endToEndFields(call.request.rawHeaders);
    const sent: string[] = [];
    for (let index = 0; index + 1 < kept.length; index += 2) {
      const name = kept[index] ?? '';
      if (!replaced.has(name.toLowerCase())) sent.push(name, kept[index + 1] ?? '');
    }
    const leftMs = Math.max(1, Math.floor(call.callerDeadlineAtMs - context.clock.nowMs()));
    sent.push(fields.timeLeftMs, String(leftMs), fields.expectedBackend, backendId);
    const length = call.request.headers['content-length'];
    if (body.form === 'whole' && body.bytes !== null) {
      sent.push('Content-Length', String(body.bytes.length));
    } else if (length !== undefined) sent.push('Content-Length', length);
    return sent;
  }

  private async attempt(
    call: RoutedCall,
    placed: TakenPlace,
    body: RequestBody,
  ): Promise<AttemptEnd> {
    const { context, agent, fields, pools } = this.parts;
    const { backend } = placed.place;
    const { backendId, endpoint } = backend.record;
    const startedAtMs = context.clock.nowMs();
    this.logPlacement(call, placed);
    const { result, times } = await exchange({
      agent,
      endpoint,
      method: call.request.method ?? 'GET',
      path: call.request.url ?? '/',
      fields: this.requestFields(call, backendId, body),
      body: body.form === 'whole' ? body.bytes : body.open(),
      connectTimeoutMs: connectBaseMs + roundTrips * 2 * backend.linkMs,
      signal: call.signal,
      isOwnAnswer: (answer) => {
        const echoed = fieldValue(answer, fields.attemptId);
        return echoed === undefined || echoed === call.requestId;
      },
      nowMs: context.clock.nowMs,
    });
    const nowMs = context.clock.nowMs();
    pools.release(placed);
    if (times.isNewConnection && times.connectMs > 0) pools.noteConnect(backend, times.connectMs);
    context.metrics.count('backend_exchanges_total', { service: call.service, end: result.end });
    const end = this.judge(call, placed, result, nowMs);
    this.learn(call, placed, result, nowMs - startedAtMs - times.connectMs);
    this.logAttempt(call, placed, result, times, nowMs - startedAtMs);
    return end;
  }

  private judge(
    call: RoutedCall,
    { place: { backend } }: TakenPlace,
    result: ExchangeResult,
    nowMs: number,
  ): AttemptEnd {
    const { backendId } = backend.record;
    if (result.end === 'notSent') {
      backend.backOff(nowMs);
      const problem = failure('BL3003', `backend server "${backendId}": ${result.problem}`, {
        retryAfterMs: noBackendRetryAfterMs,
      });
      return { end: 'notRun', failure: problem, arrived: false };
    }
    if (result.end === 'broken') {
      return { end: 'unknown', failure: failure('BL3006', `"${backendId}": ${result.problem}`) };
    }
    if (result.end === 'aborted') {
      if (call.response.destroyed) {
        return { end: 'givenUp', failure: failure('BL3017', 'the caller hung up') };
      }
      const problem = result.wasSent
        ? failure('BL3005', `the time limit passed at backend server "${backendId}"`)
        : abortedBeforeSend(call);
      return { end: 'givenUp', failure: problem };
    }
    const { status, fields: answer } = result.head;
    const isMisdirected = status === misdirectedStatus;
    const isNotRun = isMisdirected || fieldValue(answer, this.parts.fields.notRun) !== undefined;
    if (!isNotRun || result.end !== 'answered') return { end: 'answered', result, backendId };
    if (isMisdirected) backend.backOff(nowMs);
    const problem = failure('BL3015', `backend server "${backendId}" answered ${status}`, {
      retryAfterMs: noBackendRetryAfterMs,
    });
    return { end: 'notRun', failure: problem, arrived: true };
  }

  /** Learns from an exchange how the backend server does. */
  private learn(
    call: RoutedCall,
    { place }: TakenPlace,
    result: ExchangeResult,
    elapsedMs: number,
  ): void {
    const { context, fields, pools } = this.parts;
    const end = lessonOf(call, result, fields);
    if (end === undefined) return;
    const reported = 'head' in result ? loadOf(result.head.fields, fields.load) : undefined;
    const outcome = { end, elapsedMs, ...(reported === undefined ? {} : { reported }) };
    recordExchange(pools.times, call, place, outcome, context.clock.nowMs());
  }

  private logPlacement(call: RoutedCall, placed: FinalDecision): void {
    const { requestId, service, routeId, rank, routingVersion, objectKey } = call;
    const { log, clock, metrics } = this.parts.context;
    const targetLeftMs = Math.round(call.targetAtMs - clock.nowMs());
    const common = { requestId, service, routeId, rank, routingVersion, objectKey, targetLeftMs };
    if (placed.decision === 'send') {
      log.info('callSent', { ...common, ...describePlace(placed.place) });
      return;
    }
    const { reason, retryAfterMs, best } = placed;
    metrics.count('routed_calls_turned_away_total', { service, reason });
    log.info('callTurnedAway', {
      ...common,
      reason,
      retryAfterMs: Math.round(retryAfterMs),
      ...(best === undefined ? {} : describePlace(best)),
      waitingCalls: this.parts.pools.waitingCalls(),
    });
  }

  private logAttempt(
    call: RoutedCall,
    { place: { backend, isWarm } }: TakenPlace,
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
      isWarm,
      isNewConnection: times.isNewConnection,
      elapsedMs: Math.round(elapsedMs),
    });
  }
}
