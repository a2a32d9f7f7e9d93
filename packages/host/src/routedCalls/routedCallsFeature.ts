import { setTimeout as delay } from 'node:timers/promises';

import { mayTakeCall, type StopPlan } from '@buckthornlug/core/calls/stopAdmission.js';
import { TargetSelector } from '@buckthornlug/core/routing/routeTable.js';
import { routingSettingsSchema } from '@buckthornlug/protocol/settings/settingsSchema.js';
import { okAsync, type ResultAsync } from 'neverthrow';

import type { Failure } from '@buckthornlug/protocol/results/failure.js';

import { createEntryServer } from '../calls/callersListener.js';
import { RefusedConnections } from '../calls/refusedConnections.js';
import { DemandReporter } from '../regionPlan/demandReporter.js';
import { RoutingFollower } from '../routing/routingFollower.js';
import { reportLeavingBackend } from '../routing/leavingReporter.js';
import type { LeavingBackend } from '../routing/routingPollSchema.js';
import { RoutingState } from '../routing/routingState.js';
import type { Feature, HostParts } from '../runtime/hostParts.js';
import type { HostContext, RunningFeature } from '../runtime/hostTypes.js';
import { closeServer, listen } from '../runtime/listen.js';
import { setProcessTimer } from '../runtime/timers.js';
import { BackendAgent } from './backendConnections.js';
import type { MayTakeRoutedCall } from './plannedStop.js';
import { RoutedCallServer, type StopProgress } from './routedCallServer.js';
import { RoutedPools } from './routedPools.js';
import { RoutedRunner } from './routedRunner.js';

/** Serves calls on an entry host as the routing document says. */

/** Time for the last answers to reach their callers before a stopping host closes connections. */
const lastAnswersMs = 200;

function startRoutedCalls(
  context: HostContext,
  parts: HostParts,
): ResultAsync<RunningFeature, Failure> {
  const { settings, clock } = context;
  const routing = settings.routing ?? routingSettingsSchema.parse({});
  let progress: StopProgress = 'serving';
  let stopPlan: StopPlan | undefined;
  const mayTake: MayTakeRoutedCall = ({ route, deadlineAtMs }) => {
    const mayRepeat = route.execution === 'idempotent';
    return mayTakeCall(stopPlan, { mayRepeat, deadlineAtMs }, clock.nowMs());
  };
  const state = new RoutingState(clock);
  const targetSelector = new TargetSelector();
  const agent = new BackendAgent();
  const pools = new RoutedPools(context, parts, state);
  const { callFields, retryPermille, retryBurst } = routing;
  const reportLeaving = (backend: LeavingBackend) => {
    reportLeavingBackend({ context, parts }, backend).catch((error: unknown) => {
      context.log.error('leavingReportDefect', { detail: String(error) });
    });
  };
  const runner = new RoutedRunner({
    context,
    pools,
    agent,
    callFields,
    retryPermille,
    retryBurst,
    reportLeaving,
    mayTake,
  });
  const { documentInForceMs } = routing;
  const acceptor = { context, state, targetSelector, callFields, documentInForceMs };
  const callServer = new RoutedCallServer({
    context,
    acceptor,
    runner,
    progress: () => progress,
    mayTake,
  });
  const refusedConnections = new RefusedConnections(context, callFields.attemptId);
  const server = createEntryServer(settings.limits, refusedConnections, (request, response) =>
    callServer.handleRequest(request, response),
  );

  const applyUpdate = (update: Parameters<RoutingState['apply']>[0]) => {
    const previousTable = state.table;
    const unconfirmedMs = Math.round(state.unconfirmedMs());
    if (!state.apply(update)) return;
    const { routingVersion, registryRevision, evacuationRevision } = state.position();
    const inForce = { routingVersion, registryRevision, evacuationRevision, unconfirmedMs };
    context.log.info('routingInForce', inForce);
    if (state.table !== previousTable && state.table !== undefined) {
      targetSelector.prune(state.table);
      server.keepAliveTimeout = state.table.limits.idleTimeoutMs;
      server.headersTimeout = state.table.limits.headTimeoutMs;
      parts.membershipTask?.setVersions({ documentVersion: routingVersion, shiftRevision: 0 });
    }
    pools.refresh();
  };
  const follower = new RoutingFollower({
    context,
    parts,
    position: () => state.position(),
    apply: applyUpdate,
    confirm: (atMs) => state.confirm(atMs),
    setTimer: setProcessTimer,
  });
  const followerStopped = follower.run().catch((error: unknown) => {
    context.log.error('routingFollowerDefect', { detail: String(error) });
  });
  const demandReporter = new DemandReporter({
    context,
    parts,
    preferredSource: () => follower.source,
    takeDemand: () => pools.takeDemand(),
    apply: (plan) => pools.setPlan(plan),
    setTimer: setProcessTimer,
  });
  const unsubscribe = parts.membership.onChange(() => pools.refreshIfHostsChanged());
  parts.provide({
    isReady: () => progress === 'serving' && state.table !== undefined,
  });

  const running: RunningFeature = {
    name: 'routedCalls',
    stopSteps: {
      leaveLookups: async () => {
        const { leaveLookupMs, stopGraceMs } = settings.timing;
        const nowMs = clock.nowMs();
        stopPlan = {
          callersKnowAtMs: nowMs + routing.lookupTtlMs,
          endsAtMs: nowMs + leaveLookupMs + stopGraceMs,
        };
        progress = 'leaving';
        await delay(leaveLookupMs);
      },
      finishCalls: async () => {
        progress = 'finishing';
        const closed = closeServer(server);
        const leftMs = (stopPlan?.endsAtMs ?? 0) - clock.nowMs();
        await callServer.inFlight.whenIdle(Math.max(0, leftMs));
        callServer.endCalls();
        // Closing at once would reset connections whose last answer the caller has not read yet.
        await Promise.race([closed, delay(lastAnswersMs, undefined, { ref: false })]);
        server.closeAllConnections();
        await closed;
      },
      closeTasks: async () => {
        unsubscribe();
        demandReporter.stop();
        follower.stop();
        await followerStopped;
        pools.stop();
        agent.destroy();
      },
    },
    status: () => ({ callsInFlight: callServer.inFlight.count, progress, ...state.position() }),
  };
  return listen(server, settings.listen.callers).andThen(() => okAsync(running));
}

/** Runs on entry hosts whose settings have a routing section. */
export const routedCallsFeature: Feature = {
  name: 'routedCalls',
  isEnabled: ({ roles, routing }) => roles.includes('entry') && routing !== undefined,
  start: startRoutedCalls,
};
