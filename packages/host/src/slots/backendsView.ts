import type { BackendStatus } from '@buckthornlug/protocol/admin/adminSchema.js';

import type { Clock } from '../runtime/hostTypes.js';
import type { PoolTask } from './poolTask.js';

/** Lists the backend servers of the pools of one host. */
export function listBackends(
  hostId: string,
  pools: Iterable<PoolTask>,
  clock: Pick<Clock, 'nowMs'>,
): BackendStatus[] {
  const nowMs = clock.nowMs();
  const backends: BackendStatus[] = [];
  for (const pool of pools) {
    for (const { slots, announcement, lastAnnouncedAtMs } of pool.knownBackends) {
      const { backendId, service, availabilityZone, endpoint, state } = announcement;
      backends.push({
        ...{ backendId, service, availabilityZone, endpoint, state },
        ownerHostId: hostId,
        slots: announcement.slots,
        usedSlots: slots.inFlight,
        ejected: slots.standing(nowMs) === 'ejected',
        holdsLease: slots.lease.isHeld(nowMs),
        silentMs: Math.max(0, Math.round(nowMs - lastAnnouncedAtMs)),
      });
    }
  }
  return backends;
}

/**
 * Whether one host's view of a backend server is preferred to another host's: the view of the lease
 * holder, else the one with the latest announcement.
 */
function isPreferredView(one: BackendStatus, other: BackendStatus | undefined): boolean {
  if (other === undefined) return true;
  if (one.holdsLease !== other.holdsLease) return one.holdsLease;
  return one.silentMs < other.silentMs;
}

/** Key of a backend server, unique across all zones; also the cursor of a page. */
export function backendKeyOf({ service, availabilityZone, backendId }: BackendStatus): string {
  return `${availabilityZone}/${service}/${backendId}`;
}

/** Orders backend servers by zone, then by key. */
function compareBackends(left: BackendStatus, right: BackendStatus): number {
  if (left.availabilityZone !== right.availabilityZone) {
    return left.availabilityZone < right.availabilityZone ? -1 : 1;
  }
  return backendKeyOf(left) < backendKeyOf(right) ? -1 : 1;
}

/**
 * Merges the views of several hosts. For each backend server, the view of the host that holds its
 * lease is used, else that of the host with its latest announcement.
 *
 * @param views - backend servers as each host sees them
 */
export function mergeBackends(views: readonly (readonly BackendStatus[])[]): BackendStatus[] {
  const merged = new Map<string, BackendStatus>();
  for (const backend of views.flat()) {
    const key = backendKeyOf(backend);
    if (isPreferredView(backend, merged.get(key))) merged.set(key, backend);
  }
  return [...merged.values()].sort(compareBackends);
}
