import type { IncomingMessage, ServerResponse } from 'node:http';

import { findRoute, type TargetSelector } from '@buckthornlug/core/routing/routeTable.js';
import { maxTimerMs } from '@buckthornlug/protocol/common/primitives.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { CallFields } from '@buckthornlug/protocol/settings/settingsSchema.js';
import type { CallSignal } from '@buckthornlug/protocol/steering/callSignal.js';
import { err, ok, type Result } from 'neverthrow';

import type { RoutingState } from '../routing/routingState.js';
import type { HostContext } from '../runtime/hostTypes.js';
import type { RoutedCall } from './routedCallsTypes.js';

/** Determines the route, the service and the time limits of a request. */

/** Retry delay for requests that arrive before the first routing document. */
const noDocumentRetryAfterMs = 500;

/** Retry delay of a request for which another host may know a route. */
const unconfirmedRetryAfterMs = 100;
/** Part of the time in which a document comes in force after which it counts as unconfirmed. */
const confirmedFraction = 0.9;

/** Dependencies of `acceptRoutedCall`. */
export interface AcceptorParts {
  readonly context: HostContext;
  readonly state: RoutingState;
  readonly targetSelector: TargetSelector;
  /** Names of the header fields that callers use. */
  readonly callFields: CallFields;
  /** Time within which an accepted document is in force on each host. */
  readonly documentInForceMs: number;
}

function readHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
}

function withoutQuery(url: string): string {
  const queryAt = url.indexOf('?');
  return queryAt < 0 ? url : url.slice(0, queryAt);
}

/**
 * Time for which the caller will wait, at most `maxTimerMs`, as backend servers set timers by it; undefined if
 * it sends none or an invalid one.
 */
function readTimeLeftMs(request: IncomingMessage, callFields: CallFields): number | undefined {
  const timeLeftMs = Number(readHeader(request, callFields.timeLeftMs) ?? Number.NaN);
  if (!Number.isFinite(timeLeftMs) || timeLeftMs < 0) return undefined;
  return Math.min(timeLeftMs, maxTimerMs);
}

/**
 * Builds the call for a request whose head has arrived.
 *
 * @param signal - aborted when the caller hangs up or the time limit has passed
 * @returns BL2010 before the first document, BL3010 without a Host header or path, BL3001 without a
 *   route, BL2013 without one in a document that may be outdated, or BL3003 if the route has no
 *   target with a weight
 */
export function acceptRoutedCall(
  { context, state, targetSelector, callFields, documentInForceMs }: AcceptorParts,
  request: IncomingMessage,
  response: ServerResponse,
  signal: CallSignal,
): Result<RoutedCall, Failure> {
  const { table } = state;
  if (table === undefined) {
    const options = { retryAfterMs: noDocumentRetryAfterMs };
    return err(failure('BL2010', 'no routing document is in force', options));
  }
  const url = request.url ?? '/';
  const { host: hostHeader } = request.headers;
  if (!url.startsWith('/') || hostHeader === undefined) {
    return err(failure('BL3010', 'the request has no Host header or no path'));
  }
  const route = findRoute(table, hostHeader, withoutQuery(url));
  if (route === undefined) {
    const target = `${hostHeader} ${withoutQuery(url)}`;
    if (state.unconfirmedMs() <= documentInForceMs * confirmedFraction) {
      return err(failure('BL3001', target));
    }
    return err(failure('BL2013', target, { retryAfterMs: unconfirmedRetryAfterMs }));
  }
  const service = targetSelector.next(route);
  if (service === undefined) {
    return err(failure('BL3003', `route "${route.routeId}" has no target with a weight`));
  }
  const arrivedAtMs = context.clock.nowMs();
  const callerTimeLeftMs = readTimeLeftMs(request, callFields) ?? route.timeLimitMs;
  return ok({
    requestId: readHeader(request, callFields.attemptId) ?? '',
    request,
    response,
    route,
    routeId: route.routeId,
    routingVersion: table.version,
    leastUrgentRank: table.leastUrgentRank,
    service,
    objectKey: route.hasAffinity ? readHeader(request, callFields.objectKey) : undefined,
    rank: route.rank,
    targetMs: route.targetMs,
    arrivedAtMs,
    targetAtMs: arrivedAtMs + route.targetMs,
    deadlineAtMs: arrivedAtMs + Math.min(callerTimeLeftMs, route.timeLimitMs),
    callerDeadlineAtMs: arrivedAtMs + callerTimeLeftMs,
    homeRegions: route.homeRegions,
    tried: new Set<string>(),
    // The response of a pipelined request is not told when its connection closes.
    hasCallerLeft: () => request.socket.destroyed,
    signal,
  });
}
