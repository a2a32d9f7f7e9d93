import type { IncomingMessage, ServerResponse } from 'node:http';

import { classifyCall } from '@buckthornlug/core/table/table.js';
import type { CallClass, SteeringTable } from '@buckthornlug/core/table/tableTypes.js';
import {
  forwardedCallHeader,
  forwardedCallSchema,
} from '@buckthornlug/protocol/calls/forwardedCallSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, Result } from 'neverthrow';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import type { AcceptedCall } from './callTypes.js';

const requestIdRadix = 36;

/** Classifies requests and turns them into accepted calls. */
export interface CallAcceptor {
  /** Accepts a request of a caller; fails with BL2010, BL3001 or BL3010. */
  readonly fromCaller: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => Result<AcceptedCall, Failure>;
  /** Accepts a call forwarded by another host; fails with BL2010, BL3001 or BL3010. */
  readonly fromHost: (
    request: IncomingMessage,
    response: ServerResponse,
    fromHostId: string,
  ) => Result<AcceptedCall, Failure>;
}

const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  () => failure('BL3010', 'the header of a forwarded call is not JSON'),
);

function parseForwarded(request: IncomingMessage) {
  const field = request.headers[forwardedCallHeader];
  if (typeof field !== 'string')
    return err(failure('BL3010', 'the header of a forwarded call is missing'));
  return parseJson(field).andThen((value) => {
    const parsed = forwardedCallSchema.safeParse(value);
    if (parsed.success) return ok(parsed.data);
    return err(failure('BL3010', 'the header of a forwarded call does not match its schema'));
  });
}

function withoutQuery(url: string): string {
  const queryAt = url.indexOf('?');
  return queryAt < 0 ? url : url.slice(0, queryAt);
}

/** Applies the rank that the forwarding host found, which may have another version of the document in force. */
function withRank(callClass: CallClass, rank: number): CallClass {
  return callClass.rank === rank ? callClass : { ...callClass, rank };
}

function findSection(table: SteeringTable, callClass: CallClass | undefined) {
  if (callClass === undefined) return undefined;
  return table.services.get(callClass.service)?.section;
}

/**
 * Creates the acceptor of a host.
 *
 * @param parts - provides the compiled document and the membership
 */
export function createCallAcceptor(context: HostContext, parts: HostParts): CallAcceptor {
  const { settings, clock, incarnation } = context;
  const idPrefix = `${settings.hostId}-${incarnation.toString(requestIdRadix)}-`;
  let lastRequestNumber = 0;

  const findCallerRegion = (table: SteeringTable, request: IncomingMessage): string => {
    const zone = parts.findCallerZone(request.socket.remoteAddress ?? '');
    if (zone === undefined) return settings.region;
    return table.network.regionOfZone.get(zone) ?? settings.region;
  };

  return {
    fromCaller: (request, response) => {
      const table = parts.table.current();
      if (table === undefined) return err(failure('BL2010', 'no document is in force'));
      const url = request.url ?? '/';
      if (!url.startsWith('/')) return err(failure('BL3010', 'the path must start with a slash'));
      const { host: hostName } = request.headers;
      if (hostName === undefined) return err(failure('BL3010', 'the Host header is missing'));
      const method = request.method ?? 'GET';
      const callClass = classifyCall(table, hostName, method, withoutQuery(url));
      const section = findSection(table, callClass);
      if (callClass === undefined || section === undefined) {
        return err(failure('BL3001', `no service matches ${hostName} ${method}`));
      }
      const arrivedAtMs = clock.nowMs();
      lastRequestNumber += 1;
      return ok({
        requestId: idPrefix + lastRequestNumber.toString(requestIdRadix),
        request,
        response,
        callClass,
        section,
        arrivedAtMs,
        targetAtMs: arrivedAtMs + callClass.targetMs,
        deadlineAtMs: arrivedAtMs + callClass.timeLimitMs,
        origin: 'caller',
        originZone: settings.availabilityZone,
        originRegion: findCallerRegion(table, request),
        earlierAttempts: 0,
        excluded: [],
        crossedZones: false,
      });
    },

    fromHost: (request, response, fromHostId) => {
      const table = parts.table.current();
      if (table === undefined) return err(failure('BL2010', 'no document is in force'));
      const sender = parts.membership.find(fromHostId);
      return parseForwarded(request).andThen((forwarded) => {
        const { service, kind, creditId } = forwarded;
        const entry = table.services.get(service);
        const rule = entry?.rules.find((candidate) => candidate.callClass.kind.id === kind);
        if (entry === undefined || rule === undefined) {
          return err(failure('BL3001', `no such service and kind of call: ${service} ${kind}`));
        }
        const arrivedAtMs = clock.nowMs();
        const isZonePeer = sender?.availabilityZone === settings.availabilityZone;
        return ok({
          requestId: forwarded.requestId,
          request,
          response,
          callClass: withRank(rule.callClass, forwarded.rank),
          section: entry.section,
          arrivedAtMs,
          targetAtMs: arrivedAtMs + forwarded.targetLeftMs,
          deadlineAtMs: arrivedAtMs + forwarded.timeLeftMs,
          origin: isZonePeer ? ('zonePeer' as const) : ('otherZone' as const),
          originZone: forwarded.originZone,
          originRegion: forwarded.originRegion,
          earlierAttempts: forwarded.attempt,
          excluded: forwarded.excluded,
          crossedZones: forwarded.crossedZones,
          ...(creditId === undefined ? {} : { creditId }),
        });
      });
    },
  };
}
