import type { IncomingMessage, ServerResponse } from 'node:http';

import { findRoute, type TargetSelector } from '@buckthornlug/core/routing/routeTable.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { CallFields } from '@buckthornlug/protocol/settings/settingsSchema.js';
import { err, ok, type Result } from 'neverthrow';

import type { RoutingState } from '../routing/routingState.js';
import type { HostContext } from '../runtime/hostTypes.js';
import type { RoutedCall } from './routedCallsTypes.js';

/** Finds the route, the service and the time limits of a request. */

/** Time asked of a caller that came before the first routing document. */
const noDocumentRetryAfterMs = 500;

/** What the acceptor is given. */
export interface AcceptorParts {
  readonly context: HostContext;
  readonly state: RoutingState;
  readonly spread: TargetSelector;
  readonly fields: CallFields;
}

function headerOf(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' && value !== '' ? value : undefined;
}

function pathOf(url: string): string {
  const queryAt = url.indexOf('?');
  return queryAt < 0 ? url : url.slice(0, queryAt);
}

/** Time for which the caller will wait; undefined where it names none. */
function callerTimeMs(request: IncomingMessage, fields: CallFields): number | undefined {
  const valueMs = Number(headerOf(request, fields.timeLeftMs) ?? Number.NaN);
  return Number.isFinite(valueMs) && valueMs >= 0 ? valueMs : undefined;
}

/**
 * Takes a request of a caller.
 *
 * @param parts - routing state and names of header fields
 * @param request - request whose head has arrived
 * @param response - answer to it
 * @param signal - aborted when the caller hangs up or the time limit has passed
 * @returns BL2010 before the first document, BL3001 without a route, BL3010, or BL3003 where the
 *   route has no target with a weight
 */
export function acceptRoutedCall(
  { context, state, spread, fields }: AcceptorParts,
  request: IncomingMessage,
  response: ServerResponse,
  signal: AbortSignal,
): Result<RoutedCall, Failure> {
  const { table } = state;
  if (table === undefined) {
    const more = { retryAfterMs: noDocumentRetryAfterMs };
    return err(failure('BL2010', 'no routing document is in force', more));
  }
  const url = request.url ?? '/';
  const { host: hostField } = request.headers;
  if (!url.startsWith('/') || hostField === undefined) {
    return err(failure('BL3010', 'the request names no host or no path'));
  }
  const route = findRoute(table, hostField, pathOf(url));
  if (route === undefined) return err(failure('BL3001', `${hostField} ${pathOf(url)}`));
  const service = spread.next(route);
  if (service === undefined) {
    return err(failure('BL3003', `route "${route.routeId}" has no target with a weight`));
  }
  const arrivedAtMs = context.clock.nowMs();
  const callerMs = callerTimeMs(request, fields) ?? route.timeLimitMs;
  return ok({
    requestId: headerOf(request, fields.attemptId) ?? '',
    request,
    response,
    route,
    routeId: route.routeId,
    routingVersion: table.version,
    service,
    objectKey: route.hasAffinity ? headerOf(request, fields.objectKey) : undefined,
    rank: route.rank,
    targetMs: route.targetMs,
    arrivedAtMs,
    targetAtMs: arrivedAtMs + route.targetMs,
    deadlineAtMs: arrivedAtMs + Math.min(callerMs, route.timeLimitMs),
    callerDeadlineAtMs: arrivedAtMs + callerMs,
    homeRegions: route.homeRegions,
    tried: new Set<string>(),
    signal,
  });
}
