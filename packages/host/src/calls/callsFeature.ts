import type { ServerResponse } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import {
  mayTakeCall,
  type StopPlan,
  type StoppableCall,
} from '@buckthornlug/core/calls/stopAdmission.js';
import { requestIdHeader } from '@buckthornlug/protocol/calls/callHeaders.js';
import { failure } from '@buckthornlug/protocol/results/failure.js';
import type { ResultAsync } from 'neverthrow';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';

import { createAnnounceEndpoint } from '../announce/announceEndpoint.js';
import { createLookupAnswers } from '../lookups/lookupAnswers.js';
import { createLookupEndpoint } from '../lookups/lookupEndpoint.js';
import type { Feature, HostParts } from '../runtime/hostParts.js';
import type { HostContext, RunningFeature } from '../runtime/hostTypes.js';
import { closeServer, listen } from '../runtime/listen.js';
import { createCallAcceptor } from './acceptCall.js';
import { createCallersServer, type RequestHandler } from './callersListener.js';
import { createCallRunner } from './callRunner.js';
import { createCallServer } from './callServer.js';
import type { AcceptedCall } from './callTypes.js';
import { createConnections } from './connections.js';
import { createDispatch } from './dispatch.js';
import { toRefusalBeforeLedger } from './onceWork.js';
import { sendRefusal } from './refusal.js';
import { RefusedConnections } from './refusedConnections.js';

const sweepIntervalMs = 10_000;
/** Time until all hosts know of a planned stop, so that no look-up answer names the host any more. */
const leavePropagationMs = 1000;

/**
 * Phase of a planned stop of the host: `leaving` still serves calls but closes their connections,
 * `finishing` refuses new calls.
 */
type StopProgress = 'serving' | 'leaving' | 'finishing';

/** Longest time for which a look-up answer that names this host may be cached. */
function findMaxLookupTtlMs(parts: HostParts): number {
  const inForce = parts.document.current();
  if (inForce === undefined) return 0;
  const services = Object.values(inForce.document.services);
  return services.reduce((longest, service) => Math.max(longest, service.lookupTtlMs), 0);
}

/** The ledger answers a call with an identity again, so that only single calls must not be repeated. */
function toStoppable({ callClass, deadlineAtMs }: AcceptedCall): StoppableCall {
  return { mayRepeat: callClass.execution !== 'single', deadlineAtMs };
}

function createHealthEndpoint(
  context: HostContext,
  parts: HostParts,
  progress: () => StopProgress,
): RequestHandler {
  return (_request, response) => {
    const documentVersion = parts.document.current()?.version;
    const isReady = progress() === 'serving' && documentVersion !== undefined;
    const state = progress();
    const body = JSON.stringify({ hostId: context.settings.hostId, state, documentVersion });
    response.writeHead(isReady ? 200 : 503, { 'content-type': 'application/json' });
    response.end(body);
  };
}

function startCalls(context: HostContext, parts: HostParts): ResultAsync<RunningFeature, Failure> {
  const { settings, clock, metrics } = context;
  let progress: StopProgress = 'serving';
  let stopPlan: StopPlan | undefined;
  const connections = createConnections(clock.nowMs);
  const acceptor = createCallAcceptor(context, parts);
  const runCall = createCallRunner(context, parts, createDispatch(context, parts, connections));
  const callServer = createCallServer(context, parts, runCall);
  const lookupAnswers = createLookupAnswers(context, parts);
  parts.document.onChange(() => lookupAnswers.invalidate());
  parts.membership.onChange(() => lookupAnswers.invalidate());

  const handleRequest = (
    response: ServerResponse,
    accept: () => ReturnType<typeof acceptor.fromCaller>,
  ) => {
    if (progress !== 'serving') response.setHeader('connection', 'close');
    const accepted = accept();
    const mayTake =
      accepted.isErr() || mayTakeCall(stopPlan, toStoppable(accepted.value), clock.nowMs());
    if (progress === 'finishing' || !mayTake) {
      const stopping = failure('BL3016', 'the host is stopping');
      sendRefusal(
        response,
        accepted.isOk() ? toRefusalBeforeLedger(accepted.value, stopping) : stopping,
      );
      return;
    }
    if (accepted.isOk()) {
      callServer.serve(accepted.value);
      return;
    }
    metrics.count('requests_refused_total', { code: accepted.error.code });
    sendRefusal(response, accepted.error);
  };

  parts.provide({
    forwardedCalls: (request, response, fromHostId) =>
      handleRequest(response, () => acceptor.fromHost(request, response, fromHostId)),
  });

  const refusedConnections = new RefusedConnections(context, requestIdHeader);
  const server = createCallersServer(settings.limits, refusedConnections, {
    lookup: createLookupEndpoint(lookupAnswers),
    announce: createAnnounceEndpoint(context, parts, connections.recordConnectionLimit),
    health: createHealthEndpoint(context, parts, () => progress),
    call: (request, response) =>
      handleRequest(response, () => acceptor.fromCaller(request, response)),
  });
  const sweepTimer = setInterval(connections.closeIdle, sweepIntervalMs);

  const running: RunningFeature = {
    name: 'calls',
    stopSteps: {
      leaveLookups: async () => {
        progress = 'leaving';
        lookupAnswers.invalidate();
        const maxLookupTtlMs = findMaxLookupTtlMs(parts);
        const { leaveLookupMs, stopGraceMs } = settings.timing;
        const lookupsMs = maxLookupTtlMs > 0 ? maxLookupTtlMs + leavePropagationMs : 0;
        const leavingMs = lookupsMs > 0 ? lookupsMs + leaveLookupMs : 0;
        const nowMs = clock.nowMs();
        stopPlan = {
          callersKnowAtMs: nowMs + lookupsMs,
          endsAtMs: nowMs + leavingMs + stopGraceMs,
        };
        await delay(leavingMs);
      },
      finishCalls: async () => {
        progress = 'finishing';
        await callServer.whenIdle(settings.timing.stopGraceMs);
      },
      closeListeners: async () => {
        clearInterval(sweepTimer);
        const closed = closeServer(server);
        server.closeAllConnections();
        await closed;
        await connections.close();
      },
    },
    status: () => ({ callsInFlight: callServer.callsInFlight(), progress }),
  };
  return listen(server, settings.listen.callers).map(() => running);
}

/** Listener for callers: calls, look-ups and announcements. */
export const callsFeature: Feature = {
  name: 'calls',
  isEnabled: (settings) => settings.roles.includes('entry'),
  start: startCalls,
};
