import type { Announcement } from '@buckthornlug/protocol/announce/announceSchema.js';
import { failure } from '@buckthornlug/protocol/results/failure.js';
import type { MayRetry, PlaceCall } from '@buckthornlug/protocol/steering/placementTypes.js';
import { ok, okAsync } from 'neverthrow';

import type {
  Feature,
  HostParts,
  ReceiveAnnouncement,
} from '@buckthornlug/host/runtime/hostParts.js';
import type { HostContext } from '@buckthornlug/host/runtime/hostTypes.js';

/** A backend server that renews its announcement. */
interface KnownBackend {
  announcement: Announcement;
  expiresAtMs: number;
  inFlight: number;
}

const retryAfterMs = 500;

/** Keeps the backend servers that announce themselves and gives their slots in turn. */
function startTurns(context: HostContext, parts: HostParts) {
  const { settings, clock } = context;
  const { announceRenewMs, slotLeaseMs } = settings.timing;
  const backends = new Map<string, KnownBackend>();
  let turn = 0;

  const hasFreeSlot = (backend: KnownBackend, service: string, excluded: readonly string[]) =>
    backend.announcement.service === service &&
    backend.announcement.state === 'ready' &&
    backend.expiresAtMs > clock.nowMs() &&
    backend.inFlight < backend.announcement.slots &&
    !excluded.includes(backend.announcement.backendId);

  const placeCall: PlaceCall = (call) => {
    const free = [...backends.values()].filter((backend) =>
      hasFreeSlot(backend, call.service, call.excluded),
    );
    turn += 1;
    const chosen = free[turn % Math.max(1, free.length)];
    if (chosen === undefined) {
      const refused = failure('BL3003', `service "${call.service}"`, { retryAfterMs });
      return Promise.resolve({ place: 'refused', failure: refused });
    }
    chosen.inFlight += 1;
    return Promise.resolve({
      place: 'backend',
      backendId: chosen.announcement.backendId,
      endpoint: chosen.announcement.endpoint,
      mayStart: () => true,
      release: () => {
        chosen.inFlight -= 1;
      },
    });
  };

  const mayRetry: MayRetry = (call, outcome) =>
    call.attempt < 2 && (outcome.result === 'notRun' || outcome.result === 'broken');
  const receiveAnnouncement: ReceiveAnnouncement = (announcement) => {
    const known = backends.get(announcement.backendId);
    const expiresAtMs = clock.nowMs() + slotLeaseMs;
    if (known === undefined) {
      backends.set(announcement.backendId, { announcement, expiresAtMs, inFlight: 0 });
    } else {
      known.announcement = announcement;
      known.expiresAtMs = expiresAtMs;
    }
    return ok({
      hostId: settings.hostId,
      token: String(context.incarnation),
      renewAfterMs: announceRenewMs,
      leaseMs: slotLeaseMs,
      announceTo: settings.listen.callers,
    });
  };
  parts.provide({ placeCall, mayRetry, receiveAnnouncement });
  return okAsync({ name: 'turnPlacement', stopSteps: {} });
}

/** Stands in for the pools in tests of the path: backend servers of the host, used in turn. */
export const turnPlacement: Feature = {
  name: 'turnPlacement',
  isEnabled: () => true,
  start: startTurns,
};
