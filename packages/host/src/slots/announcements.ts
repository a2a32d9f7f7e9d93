import { BackendSlots } from '@buckthornlug/core/slots/backendSlots.js';
import { defaultOutlierLimits } from '@buckthornlug/core/slots/outliers.js';
import type {
  Announcement,
  AnnouncementReply,
} from '@buckthornlug/protocol/announce/announceSchema.js';
import type { EventInput } from '@buckthornlug/protocol/events/eventSchema.js';
import { failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok } from 'neverthrow';

import type { HostParts, ReceiveAnnouncement } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import type { PoolOwners } from './poolOwners.js';
import { findMaxCallMs } from './poolRules.js';
import type { PoolTask } from './poolTask.js';
import type { KnownBackend } from './slotsTypes.js';

/** Share of a lease, at its end, in which no call is dispatched. */
const leaseGuardPermille = 25;
/** Delay of the next announcement while a lease starts or calls of a former owner run. */
const earlyRenewMs = 40;
/** Delay of the next announcement after a redirect to another host. */
const redirectRenewMs = 5;
/** Redirects within the window after which this host keeps the backend server. */
const maxRedirects = 3;
const redirectWindowMs = 3000;
/** Lease periods without an announcement after which a backend server is removed. */
const removeAfterLeases = 2;

/** Processes announcements and maintains the backend servers of the pools. */
export interface Announcements {
  readonly receive: ReceiveAnnouncement;
  /** Records lost leases and removes backend servers that no longer announce themselves. */
  readonly sweep: () => void;
}

/**
 * Creates the receiver of announcements.
 *
 * @param parts - document and membership
 * @param getOrCreatePool - returns the pool of a service; undefined for an unknown service
 * @param pools - all pools, by service
 */
export function createAnnouncements(
  context: HostContext,
  parts: HostParts,
  owners: PoolOwners,
  getOrCreatePool: (service: string) => PoolTask | undefined,
  pools: ReadonlyMap<string, PoolTask>,
): Announcements {
  const { settings, clock, incarnation } = context;
  const { slotLeaseMs, announceRenewMs } = settings.timing;
  let replyCount = 0;

  const recordBackendEvent = (kind: EventInput['kind'], { announcement }: KnownBackend) => {
    const { service, backendId, slots } = announcement;
    context.record({ kind, service, detail: { backendId, slots } });
    context.log.info(kind, { service, backendId });
  };

  const createBackend = (announcement: Announcement, slowStartMs: number): KnownBackend => {
    const document = parts.document.current()?.document;
    const formerOwnerCallMs =
      document === undefined ? 0 : findMaxCallMs(document, announcement.service);
    const timing = {
      leaseMs: slotLeaseMs,
      guardMs: (slotLeaseMs * leaseGuardPermille) / 1000,
      formerOwnerCallMs,
      slowStartMs,
    };
    const { backendId } = announcement;
    return {
      slots: new BackendSlots(backendId, settings.hostId, timing, defaultOutlierLimits),
      announcement,
      lastAnnouncedAtMs: clock.nowMs(),
      lastAnswerAtMs: Number.NEGATIVE_INFINITY,
      isLeaseHeld: false,
      redirects: 0,
      redirectWindowStartMs: clock.nowMs(),
    };
  };

  const getOrCreateBackend = (task: PoolTask, announcement: Announcement): KnownBackend => {
    const known = task.find(announcement.backendId);
    if (known !== undefined) return known;
    const slowStartMs =
      parts.document.current()?.document.services[announcement.service]?.slowStartMs ?? 0;
    const created = createBackend(announcement, slowStartMs);
    task.add(created);
    recordBackendEvent('backendSeen', created);
    return created;
  };

  /**
   * Chooses the pool owner to redirect a backend server to, and counts the redirect; undefined if
   * this host keeps the backend server.
   */
  const chooseRedirectTarget = (backend: KnownBackend): string | undefined => {
    const owner = owners.ownerOf(settings.availabilityZone, backend.announcement.service);
    if (owner === undefined || owner === settings.hostId) return undefined;
    const nowMs = clock.nowMs();
    const known = backend;
    if (nowMs - known.redirectWindowStartMs > redirectWindowMs) {
      known.redirectWindowStartMs = nowMs;
      known.redirects = 0;
    }
    known.redirects += 1;
    return known.redirects > maxRedirects ? undefined : owner;
  };

  const recordStateChanges = (backend: KnownBackend, previousState: Announcement['state']) => {
    const nowMs = clock.nowMs();
    const known = backend;
    const { state } = known.announcement;
    if (state !== previousState && state === 'ready') recordBackendEvent('backendReady', known);
    if (state !== previousState && (state === 'draining' || state === 'leaving')) {
      recordBackendEvent('backendDraining', known);
    }
    const isHeld = known.slots.lease.isHeld(nowMs);
    if (isHeld && !known.isLeaseHeld) recordBackendEvent('slotLeaseTaken', known);
    if (!isHeld && known.isLeaseHeld) recordBackendEvent('slotLeaseReleased', known);
    known.isLeaseHeld = isHeld;
  };

  const buildReply = (backend: KnownBackend): AnnouncementReply => {
    const nowMs = clock.nowMs();
    const { lease, inFlight } = backend.slots;
    replyCount += 1;
    const label = `${incarnation}-${replyCount}`;
    const redirectTarget = chooseRedirectTarget(backend);
    const targetRecord =
      redirectTarget === undefined ? undefined : parts.membership.find(redirectTarget);
    const commonFields = { hostId: settings.hostId, leaseMs: slotLeaseMs };
    if (targetRecord !== undefined) {
      const token = lease.release(label, nowMs);
      const announceTo = targetRecord.callers;
      return { ...commonFields, token, announceTo, renewAfterMs: redirectRenewMs };
    }
    return {
      ...commonFields,
      token: lease.issue(label, nowMs, inFlight),
      announceTo: settings.listen.callers,
      renewAfterMs: lease.needsEarlyRenewal(nowMs) ? earlyRenewMs : announceRenewMs,
    };
  };

  const receive: ReceiveAnnouncement = (announcement) => {
    const task = getOrCreatePool(announcement.service);
    if (task === undefined) return err(failure('BL4003', `service "${announcement.service}"`));
    const nowMs = clock.nowMs();
    const backend = getOrCreateBackend(task, announcement);
    const previousState = backend.slots.lease.announcedState;
    backend.announcement = announcement;
    backend.lastAnnouncedAtMs = nowMs;
    backend.slots.lease.receive(announcement, nowMs, backend.slots.inFlight);
    const answer = buildReply(backend);
    recordStateChanges(backend, previousState);
    task.dispatchWaiting();
    return ok(answer);
  };

  clock.onBreak?.((nowMs) => {
    for (const task of pools.values()) {
      for (const { slots } of task.knownBackends) slots.lease.distrustTimes(nowMs);
    }
  });

  const sweep = () => {
    const nowMs = clock.nowMs();
    for (const task of pools.values()) {
      for (const backend of [...task.knownBackends]) {
        recordStateChanges(backend, backend.slots.lease.announcedState);
        if (nowMs - backend.lastAnnouncedAtMs < slotLeaseMs * removeAfterLeases) continue;
        if (backend.slots.inFlight > 0) continue;
        task.remove(backend.slots.backendId);
        recordBackendEvent('backendGone', backend);
      }
    }
  };

  return { receive, sweep };
}
