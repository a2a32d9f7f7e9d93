import type { BackendStatus } from '@buckthornlug/protocol/admin/adminSchema.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Hono } from 'hono';
import type { ResultAsync } from 'neverthrow';

import type { Clock } from '../runtime/hostTypes.js';
import type { PoolTask } from './poolTask.js';

/** Hosts asked at once. */
const hostsAtOnce = 64;

/** Where the route gets the backend servers from. */
export interface BackendsSources {
  readonly readLocal: () => BackendStatus[];
  readonly otherHosts: () => readonly string[];
  readonly readRemote: (hostId: string) => ResultAsync<BackendStatus[], Failure>;
}

/**
 * Lists the backend servers of the pools of one host.
 *
 * @param hostId - the host
 * @param pools - its pools
 * @param clock - clock of the process
 */
export function listBackends(
  hostId: string,
  pools: Iterable<PoolTask>,
  clock: Pick<Clock, 'nowMs'>,
): BackendStatus[] {
  const nowMs = clock.nowMs();
  const backends: BackendStatus[] = [];
  for (const pool of pools) {
    for (const { slots, announcement, lastSeenAtMs } of pool.known) {
      const { backendId, service, availabilityZone, endpoint, state } = announcement;
      backends.push({
        ...{ backendId, service, availabilityZone, endpoint, state },
        ownerHostId: hostId,
        slots: announcement.slots,
        usedSlots: slots.inFlight,
        ejected: slots.standing(nowMs) === 'ejected',
        holdsLease: slots.lease.isHeld(nowMs),
        silentMs: Math.max(0, Math.round(nowMs - lastSeenAtMs)),
      });
    }
  }
  return backends;
}

/** Whether one host's view of a backend server goes before that of another. */
function goesBefore(one: BackendStatus, other: BackendStatus | undefined): boolean {
  if (other === undefined) return true;
  if (one.holdsLease !== other.holdsLease) return one.holdsLease;
  return one.silentMs < other.silentMs;
}

function keyOf({ service, availabilityZone, backendId }: BackendStatus): string {
  return `${service} ${availabilityZone} ${backendId}`;
}

/**
 * Merges the views of several hosts: of each backend server that of the host with its lease, else
 * of the host that heard from it last.
 *
 * @param views - backend servers as each host sees them
 */
export function mergeBackends(views: readonly (readonly BackendStatus[])[]): BackendStatus[] {
  const merged = new Map<string, BackendStatus>();
  for (const backend of views.flat()) {
    const key = keyOf(backend);
    if (goesBefore(backend, merged.get(key))) merged.set(key, backend);
  }
  return [...merged.keys()].sort().flatMap((key) => merged.get(key) ?? []);
}

/**
 * Registers `GET /v1/backends`: the backend servers as their pool owners see them, and the hosts that
 * did not answer.
 *
 * @param app - administration API
 * @param sources - local view and access to other hosts
 */
export function registerBackendsRoutes(app: Hono, sources: BackendsSources): void {
  app.get('/v1/backends', async (context) => {
    const hostIds = sources.otherHosts();
    const views = [sources.readLocal()];
    const missingHosts: string[] = [];
    for (let first = 0; first < hostIds.length; first += hostsAtOnce) {
      const asked = hostIds.slice(first, first + hostsAtOnce);
      const answers = await Promise.all(asked.map((hostId) => sources.readRemote(hostId)));
      for (const [index, answer] of answers.entries()) {
        if (answer.isOk()) views.push(answer.value);
        else missingHosts.push(asked[index] ?? '');
      }
    }
    return context.json({ backends: mergeBackends(views), missingHosts });
  });
}
