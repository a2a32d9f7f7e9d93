import type { IncomingMessage, ServerResponse } from 'node:http';

import { endToEndFields, fieldValue } from '@buckthornlug/core/calls/headerFields.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';

import { CallsInFlight } from '../calls/callsInFlight.js';
import { resetConnection, sendRefusal } from '../calls/refusal.js';
import { receiveBody } from '../calls/requestBody.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { acceptRoutedCall, type AcceptorParts } from './acceptRoutedCall.js';
import type { ExchangeResult } from './backendExchange.js';
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
  result.rest.pipe(response);
  result.rest.once('error', () => resetConnection(response));
  result.rest.once('close', () => {
    if (!result.rest.readableEnded) resetConnection(response);
  });
}

/** Accepts calls, runs them and counts those in flight. */
export class RoutedCallServer {
  readonly inFlight = new CallsInFlight();

  constructor(private readonly parts: RoutedCallServerParts) {}

  /** Serves a request, or refuses it with BL3016 if the host is finishing. */
  handleRequest(request: IncomingMessage, response: ServerResponse): void {
    const progress = this.parts.progress();
    if (progress !== 'serving') response.setHeader('connection', 'close');
    if (progress === 'finishing') {
      sendRefusal(response, failure('BL3016', 'the host is stopping', { retryAfterMs: 50 }));
      return;
    }
    this.serve(request, response).catch((error: unknown) => {
      const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
      this.parts.context.log.error('callDefect', { detail });
      sendRefusal(response, failure('BL3018', 'an internal error ended the call'));
    });
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { context, acceptor } = this.parts;
    const controller = new AbortController();
    const accepted = acceptRoutedCall(acceptor, request, response, controller.signal);
    if (accepted.isErr()) {
      const { code, detail } = accepted.error;
      context.metrics.count('requests_refused_total', { code });
      const requestId = String(request.headers[acceptor.callFields.attemptId]);
      const { routingVersion } = acceptor.state.position();
      context.log.info('callRefused', { requestId, code, detail, routingVersion });
      sendRefusal(response, accepted.error);
      return;
    }
    const call = accepted.value;
    this.inFlight.begin();
    const timeLeftMs = call.deadlineAtMs - context.clock.nowMs();
    const timer = setTimeout(() => controller.abort(), timeLeftMs);
    const onClose = () => {
      if (!response.writableFinished) controller.abort();
    };
    response.once('close', onClose);
    try {
      await this.receiveBodyAndRun(call);
    } finally {
      clearTimeout(timer);
      if (response.writableEnded) response.off('close', onClose);
      this.inFlight.end();
    }
  }

  private async receiveBodyAndRun(call: RoutedCall): Promise<void> {
    const { context, runner, acceptor } = this.parts;
    const limits = {
      maxBodyBytes:
        acceptor.state.table?.limits.maxBodyBytes ?? context.settings.limits.maxBodyBytes,
      replayBodyBytes: context.settings.limits.replayBodyBytes,
      idleBodyTimeoutMs: context.settings.limits.idleBodyTimeoutMs,
    };
    const received = await receiveBody(call.request, limits, false, call.signal);
    if (received.isErr()) {
      this.refuse(call, received.error);
      return;
    }
    const outcome = await runner.run(call, received.value);
    if (outcome.end === 'failed') {
      this.refuse(call, outcome.failure, outcome.backendId);
      return;
    }
    const elapsedMs = context.clock.nowMs() - call.arrivedAtMs;
    const { service } = call;
    context.metrics.count('calls_total', { service, result: 'answered' });
    context.metrics.observeMs('call_ms', elapsedMs, { service });
    if (call.response.destroyed) return;
    sendAnswer(call.response, call.request.method ?? 'GET', outcome.result);
  }

  private refuse(call: RoutedCall, problem: Failure, backendId?: string): void {
    const { log, metrics, clock } = this.parts.context;
    const { requestId, service, routeId } = call;
    const { code, detail } = problem;
    metrics.count('calls_total', { service, result: code });
    const elapsedMs = Math.round(clock.nowMs() - call.arrivedAtMs);
    log.info('callRefused', { requestId, service, routeId, code, detail, backendId, elapsedMs });
    sendRefusal(call.response, problem, { hasFractionalRetry: true });
  }
}
