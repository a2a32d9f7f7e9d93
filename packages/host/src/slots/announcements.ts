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
import { longestCallMs } from './poolRules.js';
import type { PoolTask } from './poolTask.js';
import type { KnownBackend } from './slotsTypes.js';

/** Part of a lease before its end in which no call is dispatched any more. */
const guardPermille = 25;
/** Renewal time while a lease starts or calls of a former owner still run. */
const earlyRenewMs = 40;
/** Renewal time of a backend server that is sent to another host. */
const redirectRenewMs = 5;
/** Redirections within the window after which a host keeps the backend server. */
const maxRedirects = 3;
const redirectWindowMs = 3000;
/** Leases without renewal after which a backend server is forgotten. */
const forgetAfterLeases = 2;

/** Takes announcements and keeps the backend servers of the pools. */
export interface Announcements {
  readonly receive: ReceiveAnnouncement;
  /** Forgets backend servers that no longer announce themselves. */
  readonly sweep: () => void;
}

/**
 * Creates the receiver of announcements.
 *
 * @param context - context of the host
 * @param parts - document and membership
 * @param owners - owners of pools
 * @param poolOf - pool of a service
 * @param pools - all pools
 */
export function createAnnouncements(
  context: HostContext,
  parts: HostParts,
  owners: PoolOwners,
  poolOf: (service: string) => PoolTask | undefined,
  pools: ReadonlyMap<string, PoolTask>,
): Announcements {
  const { settings, clock, incarnation } = context;
  const { slotLeaseMs, announceRenewMs } = settings.timing;
  let replies = 0;

  const tell = (kind: EventInput['kind'], { announcement }: KnownBackend) => {
    const { service, backendId, slots } = announcement;
    context.record({ kind, service, detail: { backendId, slots } });
    context.log.info(kind, { service, backendId });
  };

  const createBackend = (announcement: Announcement, slowStartMs: number): KnownBackend => {
    const document = parts.document.current()?.document;
    const foreignCallMs =
      document === undefined ? 0 : longestCallMs(document, announcement.service);
    const timing = {
      leaseMs: slotLeaseMs,
      guardMs: (slotLeaseMs * guardPermille) / 1000,
      formerOwnerCallMs: foreignCallMs,
      slowStartMs,
    };
    const { backendId } = announcement;
    return {
      slots: new BackendSlots(backendId, settings.hostId, timing, defaultOutlierLimits),
      announcement,
      lastSeenAtMs: clock.nowMs(),
      lastAnswerAtMs: Number.NEGATIVE_INFINITY,
      isHeld: false,
      redirects: 0,
      redirectsSinceMs: clock.nowMs(),
    };
  };

  const backendOf = (task: PoolTask, announcement: Announcement): KnownBackend => {
    const known = task.find(announcement.backendId);
    if (known !== undefined) return known;
    const slowStartMs =
      parts.document.current()?.document.services[announcement.service]?.slowStartMs ?? 0;
    const created = createBackend(announcement, slowStartMs);
    task.add(created);
    tell('backendSeen', created);
    return created;
  };

  /** Better owner of the pool; undefined where this host keeps the backend server. */
  const betterOwner = (backend: KnownBackend): string | undefined => {
    const owner = owners.ownerOf(settings.availabilityZone, backend.announcement.service);
    if (owner === undefined || owner === settings.hostId) return undefined;
    const nowMs = clock.nowMs();
    const known = backend;
    if (nowMs - known.redirectsSinceMs > redirectWindowMs) {
      known.redirectsSinceMs = nowMs;
      known.redirects = 0;
    }
    known.redirects += 1;
    return known.redirects > maxRedirects ? undefined : owner;
  };

  const noteState = (backend: KnownBackend, before: Announcement['state']) => {
    const nowMs = clock.nowMs();
    const known = backend;
    const { state } = known.announcement;
    if (state !== before && state === 'ready') tell('backendReady', known);
    if (state !== before && (state === 'draining' || state === 'leaving')) {
      tell('backendDraining', known);
    }
    const isHeld = known.slots.lease.isHeld(nowMs);
    if (isHeld && !known.isHeld) tell('slotLeaseTaken', known);
    if (!isHeld && known.isHeld) tell('slotLeaseReleased', known);
    known.isHeld = isHeld;
  };

  const reply = (backend: KnownBackend): AnnouncementReply => {
    const nowMs = clock.nowMs();
    const { lease, inFlight } = backend.slots;
    replies += 1;
    const label = `${incarnation}-${replies}`;
    const owner = betterOwner(backend);
    const ownerRecord = owner === undefined ? undefined : parts.membership.find(owner);
    const common = { hostId: settings.hostId, leaseMs: slotLeaseMs };
    if (ownerRecord !== undefined) {
      const token = lease.release(label, nowMs);
      const announceTo = ownerRecord.callers;
      return { ...common, token, announceTo, renewAfterMs: redirectRenewMs };
    }
    return {
      ...common,
      token: lease.issue(label, nowMs, inFlight),
      announceTo: settings.listen.callers,
      renewAfterMs: lease.needsEarlyRenewal(nowMs) ? earlyRenewMs : announceRenewMs,
    };
  };

  const receive: ReceiveAnnouncement = (announcement) => {
    const task = poolOf(announcement.service);
    if (task === undefined) return err(failure('BL4003', `service "${announcement.service}"`));
    const nowMs = clock.nowMs();
    const backend = backendOf(task, announcement);
    const before = backend.slots.lease.announcedState;
    backend.announcement = announcement;
    backend.lastSeenAtMs = nowMs;
    backend.slots.lease.receive(announcement, nowMs, backend.slots.inFlight);
    const answer = reply(backend);
    noteState(backend, before);
    task.pump();
    return ok(answer);
  };

  const sweep = () => {
    const nowMs = clock.nowMs();
    for (const task of pools.values()) {
      for (const backend of [...task.known]) {
        noteState(backend, backend.slots.lease.announcedState);
        if (nowMs - backend.lastSeenAtMs < slotLeaseMs * forgetAfterLeases) continue;
        if (backend.slots.inFlight > 0) continue;
        task.remove(backend.slots.backendId);
        tell('backendGone', backend);
      }
    }
  };

  return { receive, sweep };
}
