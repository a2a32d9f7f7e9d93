import { failure } from '@buckthornlug/protocol/results/failure.js';
import type { ForecastAdmission } from '@buckthornlug/protocol/steering/placementTypes.js';
import { okAsync } from 'neverthrow';

import type { Feature, HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { createAnnouncements } from './announcements.js';
import { listBackends } from './backendsView.js';
import { CreditTask } from './creditTask.js';
import { createHedging } from './hedging.js';
import { createPlacement, type OwnPool } from './placement.js';
import { createPoolOwners } from './poolOwners.js';
import { createPoolRules } from './poolRules.js';
import { PoolTask } from './poolTask.js';
import { createRemoteLinks } from './remoteLinks.js';
import { createRetries } from './retries.js';
import { createTicker } from './ticker.js';
import { createAdmissionWatch } from './admissionWatch.js';

/** Interval of dispatch and credit requests while calls wait. */
const tickIntervalMs = 5;
const sweepIntervalMs = 250;

function startSlots(context: HostContext, parts: HostParts) {
  const { settings, clock } = context;
  const pools = new Map<string, OwnPool>();
  const tasks = new Map<string, PoolTask>();
  const owners = createPoolOwners(context, parts);
  const links = createRemoteLinks(context, parts);

  const getOrCreatePool = (service: string): OwnPool | undefined => {
    const known = pools.get(service);
    if (known !== undefined) return known;
    const document = parts.document.current()?.document;
    if (document?.services[service] === undefined) return undefined;
    const rules = createPoolRules(document, service, settings.limits.maxQueuedCalls);
    const task = new PoolTask(service, context, rules);
    const created = { task, credits: new CreditTask(task, context, parts, links) };
    pools.set(service, created);
    tasks.set(service, task);
    return created;
  };

  parts.document.onChange(({ document }) => {
    for (const [service, { task }] of pools) {
      const rules = createPoolRules(document, service, settings.limits.maxQueuedCalls);
      task.pool.reconfigure(rules, clock.nowMs());
    }
  });

  const estimateCallMs = (service: string, kind: string) =>
    pools.get(service)?.task.pool.serviceTimes.quantileMs(kind, 0) ?? 0;
  const retries = createRetries(context, estimateCallMs);
  const hedging = createHedging(context, getOrCreatePool, retries);
  const announcements = createAnnouncements(
    context,
    parts,
    owners,
    (service) => getOrCreatePool(service)?.task,
    tasks,
  );
  const placement = createPlacement(context, parts, { getOrCreatePool, owners, links, ...retries });

  const hasWaitingCalls = () => {
    for (const { task } of pools.values()) {
      if (task.hasWaitingCalls) return true;
    }
    return false;
  };
  const ticker = createTicker(tickIntervalMs, hasWaitingCalls, () => {
    for (const { task, credits } of pools.values()) {
      if (!task.hasWaitingCalls) continue;
      task.dispatchWaiting();
      credits.tick();
    }
  });
  const admissionWatch = createAdmissionWatch(context);
  const sweepTimer = setInterval(() => {
    announcements.sweep();
    admissionWatch.detectReopened();
  }, sweepIntervalMs);

  const forecastAdmission: ForecastAdmission = async (call) => {
    const pendingForecast = placement.forecastAdmission(call);
    ticker.wake();
    const forecast = await pendingForecast;
    const { failure: refusal } = forecast;
    if (refusal !== undefined)
      admissionWatch.recordPlacement(call.service, { place: 'refused', failure: refusal });
    return forecast;
  };

  parts.provide({
    placeCall: async (call) => {
      const pendingPlacement = placement.placeCall(call);
      ticker.wake();
      const placed = await pendingPlacement;
      admissionWatch.recordPlacement(call.service, placed);
      return placed;
    },
    forecastAdmission,
    mayRetry: retries.mayRetry,
    hedging: {
      delayMs: hedging.delayMs,
      place: (call) => {
        const hedge = hedging.place(call);
        ticker.wake();
        return hedge;
      },
    },
    receiveAnnouncement: announcements.receive,
    poolOwner: owners.ownerOf,
    poolOwnersVersion: owners.localVersion,
  });
  const { rpcHandlers } = parts;
  rpcHandlers.slots = {
    backends: () => listBackends(settings.hostId, tasks.values(), clock),
    credits: (request) =>
      getOrCreatePool(request.service)?.credits.grant(request) ?? {
        creditIds: [],
        ttlMs: 0,
        expectedWaitMs: 0,
      },
  };

  return okAsync({
    name: 'slots',
    stopSteps: {
      leaveLookups: async () => owners.leave(),
      closeTasks: async () => {
        ticker.stop();
        clearInterval(sweepTimer);
        const refusal = failure('BL3016', 'the host is stopping');
        for (const { task } of pools.values()) task.creditQueue.refuseAll(refusal);
      },
    },
    status: () => ({
      pools: [...pools.values()].map(({ task }) => task.describe()),
    }),
  });
}

/** Slots of backend servers, pools, credits, retries and hedges of an entry host. */
export const slotsFeature: Feature = {
  name: 'slots',
  isEnabled: (settings) => settings.roles.includes('entry'),
  start: startSlots,
};
