import type { IncomingMessage, ServerResponse } from 'node:http';

import { endToEndFields, fieldValue } from '@buckthornlug/core/calls/headerFields.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';

import { CallAborted } from '../calls/callAborted.js';
import { CallController } from '../calls/callController.js';
import { CallsInFlight } from '../calls/callsInFlight.js';
import { hasUnreadBody, resetConnection, sendRefusal } from '../calls/refusal.js';
import { receiveBody } from '../calls/requestBody.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { acceptRoutedCall, type AcceptorParts } from './acceptRoutedCall.js';
import type { ExchangeResult } from './backendExchange.js';
import { CallerConnections, type OpenRequest } from './callerConnections.js';
import { immediateRetryAfterMs, stoppingFailure, type MayTakeRoutedCall } from './plannedStop.js';
import type { RoutedCall } from './routedCallsTypes.js';
import type { RoutedRunner } from './routedRunner.js';

/** Serves routed calls on an entry host. */

/**
 * Phase of a planned stop of the host: `leaving` still serves calls but closes their connections,
 * `finishing` refuses new calls.
 */
export type StopProgress = 'serving' | 'leaving' | 'finishing';

/** Dependencies of `RoutedCallServer`. */
export interface RoutedCallServerParts {
  readonly context: HostContext;
  readonly acceptor: AcceptorParts;
  readonly runner: RoutedRunner;
  readonly progress: () => StopProgress;
  /** Whether the host ends late enough to take a call. */
  readonly mayTake: MayTakeRoutedCall;
}

function sendAnswer(
  response: ServerResponse,
  method: string,
  result: Extract<ExchangeResult, { readonly end: 'answered' | 'streaming' }>,
): void {
  const fields = endToEndFields(result.head.fields);
  const isHead = method === 'HEAD';
  if (result.end === 'answered') {
    const hasContentLength = fieldValue(fields, 'content-length') !== undefined;
    if (!hasContentLength && !isHead) fields.push('Content-Length', String(result.body.length));
    response.writeHead(result.head.status, fields);
    response.end(result.body);
    return;
  }
  response.writeHead(result.head.status, fields);
  result.rest.pipe(response, { end: false });
  result.rest.once('end', () => {
    if (result.isComplete()) response.end();
    else resetConnection(response);
  });
  result.rest.once('error', () => resetConnection(response));
  result.rest.once('close', () => {
    if (!result.rest.readableEnded) resetConnection(response);
  });
}

/** Accepts calls, runs them and counts those in flight. */
export class RoutedCallServer {
  /** Calls whose answer has not been sent completely. */
  readonly inFlight = new CallsInFlight();

  private readonly connections = new CallerConnections();

  private readonly controllers = new Set<CallController>();

  constructor(private readonly parts: RoutedCallServerParts) {}

  /** Ends the calls in flight: those that were not sent are refused, the others have an unknown outcome. */
  endCalls(): void {
    for (const controller of [...this.controllers]) controller.abort(new CallAborted('stopping'));
  }

  /** Serves a request, or refuses it with BL3016 if the host is finishing or could end before the call. */
  handleRequest(request: IncomingMessage, response: ServerResponse): void {
    const controller = new CallController();
    const admitted = this.connections.admit(
      request,
      response,
      () => controller.abort(new CallAborted('cancelled')),
      () => {
        this.controllers.delete(controller);
        this.inFlight.end();
      },
    );
    if (admitted.admission === 'ignored') return;
    this.inFlight.begin();
    this.controllers.add(controller);
    const open = admitted.request;
    if (admitted.admission === 'tooMany') {
      const problem = failure('BL3002', 'too many unanswered calls on the connection', {
        retryAfterMs: immediateRetryAfterMs,
      });
      this.refuseUnrouted(request, response, open, problem);
      return;
    }
    if (this.parts.progress() === 'finishing') {
      this.refuseUnrouted(request, response, open, stoppingFailure());
      return;
    }
    this.serve(request, response, open, controller).catch((error: unknown) => {
      const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
      this.parts.context.log.error('callDefect', { detail });
      this.sendRefusal(response, open, failure('BL3018', 'an internal error ended the call'));
    });
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
    open: OpenRequest,
    controller: CallController,
  ): Promise<void> {
    const { context, acceptor } = this.parts;
    const accepted = acceptRoutedCall(acceptor, request, response, controller);
    if (accepted.isErr()) {
      this.refuseUnrouted(request, response, open, accepted.error);
      return;
    }
    const call = accepted.value;
    if (!this.parts.mayTake(call)) {
      this.refuse(call, open, stoppingFailure());
      return;
    }
    const timeLeftMs = call.deadlineAtMs - context.clock.nowMs();
    // It also ends an answer that is still being streamed, which a faulty backend server may never end.
    const timer = setTimeout(() => controller.abort(new CallAborted('timedOut')), timeLeftMs);
    response.once('close', () => clearTimeout(timer));
    controller.addEventListener('abort', () => clearTimeout(timer));
    await this.receiveBodyAndRun(call, open);
  }

  private async receiveBodyAndRun(call: RoutedCall, open: OpenRequest): Promise<void> {
    const { context, runner, acceptor } = this.parts;
    const limits = {
      maxBodyBytes:
        acceptor.state.table?.limits.maxBodyBytes ?? context.settings.limits.maxBodyBytes,
      replayBodyBytes: context.settings.limits.replayBodyBytes,
      idleBodyTimeoutMs: context.settings.limits.idleBodyTimeoutMs,
    };
    const received = await receiveBody(call.request, limits, false, call.signal);
    if (received.isErr()) {
      this.refuse(call, open, received.error);
      return;
    }
    const outcome = await runner.run(call, received.value);
    if (outcome.end === 'failed') {
      this.refuse(call, open, outcome.failure, outcome.backendId);
      return;
    }
    const elapsedMs = context.clock.nowMs() - call.arrivedAtMs;
    const { service } = call;
    context.metrics.count('calls_total', { service, result: 'answered' });
    context.metrics.observeMs('call_ms', elapsedMs, { service });
    if (call.hasCallerLeft()) return;
    this.closeIfStopping(call.response, open);
    sendAnswer(call.response, call.request.method ?? 'GET', outcome.result);
  }

  private refuse(call: RoutedCall, open: OpenRequest, problem: Failure, backendId?: string): void {
    const { log, metrics, clock } = this.parts.context;
    const { requestId, service, routeId } = call;
    const { code, detail } = problem;
    metrics.count('calls_total', { service, result: code });
    const elapsedMs = Math.round(clock.nowMs() - call.arrivedAtMs);
    log.info('callRefused', { requestId, service, routeId, code, detail, backendId, elapsedMs });
    this.sendRefusal(call.response, open, problem);
  }

  /** Refuses a request before it has become a call of a service. */
  private refuseUnrouted(
    request: IncomingMessage,
    response: ServerResponse,
    open: OpenRequest,
    problem: Failure,
  ): void {
    const { context, acceptor } = this.parts;
    const { code, detail } = problem;
    context.metrics.count('requests_refused_total', { code });
    const requestId = String(request.headers[acceptor.callFields.attemptId]);
    const { routingVersion } = acceptor.state.position();
    const unconfirmedMs = Math.round(acceptor.state.unconfirmedMs());
    context.log.info('callRefused', { requestId, code, detail, routingVersion, unconfirmedMs });
    this.sendRefusal(response, open, problem);
  }

  private sendRefusal(response: ServerResponse, open: OpenRequest, problem: Failure): void {
    this.closeIfStopping(response, open);
    // The refusal closes the connection, since the rest of the body is not read.
    if (hasUnreadBody(response.req)) open.closeAfterAnswer();
    sendRefusal(response, problem, { hasFractionalRetry: true });
  }

  /** Closes the connection after the answer if the host is stopping and no later request waits. */
  private closeIfStopping(response: ServerResponse, open: OpenRequest): void {
    if (this.parts.progress() === 'serving' || !open.isNewest() || response.headersSent) return;
    response.setHeader('connection', 'close');
    open.closeAfterAnswer();
  }
}
