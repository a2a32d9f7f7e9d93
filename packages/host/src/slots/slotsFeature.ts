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
import { poolRulesOf } from './poolRules.js';
import { PoolTask } from './poolTask.js';
import { createRemoteLinks } from './remoteLinks.js';
import { createRetries } from './retries.js';
import { createTicker } from './ticker.js';
import { watchAdmission } from './watchAdmission.js';

/** Interval in which waiting calls are looked after. */
const tickMs = 5;
const sweepMs = 250;

function startSlots(context: HostContext, parts: HostParts) {
  const { settings, clock } = context;
  const pools = new Map<string, OwnPool>();
  const tasks = new Map<string, PoolTask>();
  const owners = createPoolOwners(context, parts);
  const links = createRemoteLinks(context, parts);

  const poolOf = (service: string): OwnPool | undefined => {
    const known = pools.get(service);
    if (known !== undefined) return known;
    const document = parts.document.current()?.document;
    if (document?.services[service] === undefined) return undefined;
    const rules = poolRulesOf(document, service, settings.limits.maxQueuedCalls);
    const task = new PoolTask(service, context, rules);
    const created = { task, credits: new CreditTask(task, context, parts, links) };
    pools.set(service, created);
    tasks.set(service, task);
    return created;
  };

  parts.document.onChange(({ document }) => {
    for (const [service, { task }] of pools) {
      const rules = poolRulesOf(document, service, settings.limits.maxQueuedCalls);
      task.pool.reconfigure(rules, clock.nowMs());
    }
  });

  const usualMs = (service: string, kind: string) =>
    pools.get(service)?.task.pool.serviceTimes.quantileMs(kind, 0) ?? 0;
  const retries = createRetries(context, usualMs);
  const hedging = createHedging(context, poolOf, retries);
  const announcements = createAnnouncements(
    context,
    parts,
    owners,
    (service) => poolOf(service)?.task,
    tasks,
  );
  const placement = createPlacement(context, parts, { poolOf, owners, links, ...retries });

  const isBusy = () => {
    for (const { task } of pools.values()) {
      if (task.isBusy) return true;
    }
    return false;
  };
  const ticker = createTicker(tickMs, isBusy, () => {
    for (const { task, credits } of pools.values()) {
      if (!task.isBusy) continue;
      task.pump();
      credits.tick();
    }
  });
  const admission = watchAdmission(context);
  const sweepTimer = setInterval(() => {
    announcements.sweep();
    admission.sweep();
  }, sweepMs);

  const foresee: ForecastAdmission = async (call) => {
    const foreseeing = placement.foreseeCall(call);
    ticker.wake();
    const outlook = await foreseeing;
    const { failure: problem } = outlook;
    if (problem !== undefined) admission.note(call.service, { place: 'refused', failure: problem });
    return outlook;
  };

  parts.provide({
    placeCall: async (call) => {
      const placing = placement.placeCall(call);
      ticker.wake();
      const placed = await placing;
      admission.note(call.service, placed);
      return placed;
    },
    foreseeCall: foresee,
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
      poolOf(request.service)?.credits.grant(request) ?? {
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

/** Slots of backend servers, pools, credits and retries of this host. */
export const slotsFeature: Feature = {
  name: 'slots',
  isEnabled: (settings) => settings.roles.includes('entry'),
  start: startSlots,
};
