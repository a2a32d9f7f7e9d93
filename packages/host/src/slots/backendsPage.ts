import type {
  BackendsQuery,
  BackendsReply,
  BackendStatus,
} from '@buckthornlug/protocol/admin/adminSchema.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { ResultAsync } from 'neverthrow';

import { backendKeyOf, mergeBackends } from './backendsView.js';

/** Most hosts queried concurrently, unless a single zone has more. */
const maxConcurrentHosts = 64;

/** Hosts of an availability zone that may own pools. */
export interface ZoneHosts {
  readonly availabilityZone: string;
  readonly hostIds: readonly string[];
}

/** Hosts by zone, and access to the backend servers of each host. */
export interface BackendsSources {
  readonly zones: () => readonly ZoneHosts[];
  readonly read: (hostId: string) => ResultAsync<BackendStatus[], Failure>;
}

/** Merged answers of the hosts of some zones. */
interface ZonesResult {
  readonly backends: readonly BackendStatus[];
  readonly missingHosts: readonly string[];
}

/** Removes the next zones to query together from the list and returns them. */
function takeNextZones(zones: ZoneHosts[]): ZoneHosts[] {
  const nextZones: ZoneHosts[] = [];
  let hostCount = 0;
  for (const zone of zones) {
    hostCount += zone.hostIds.length;
    if (nextZones.length > 0 && hostCount > maxConcurrentHosts) break;
    nextZones.push(zone);
  }
  zones.splice(0, nextZones.length);
  return nextZones;
}

async function readZones(
  sources: BackendsSources,
  zones: readonly ZoneHosts[],
): Promise<ZonesResult> {
  const hostIds = zones.flatMap((zone) => zone.hostIds);
  const answers = await Promise.all(hostIds.map((hostId) => sources.read(hostId)));
  const views: BackendStatus[][] = [];
  const missingHosts: string[] = [];
  for (const [index, answer] of answers.entries()) {
    if (answer.isOk()) views.push(answer.value);
    else missingHosts.push(hostIds[index] ?? '');
  }
  return { backends: mergeBackends(views), missingHosts };
}

/** Whether a backend server comes after the cursor, the last key of the previous page. */
function isAfter(backend: BackendStatus, after: string | undefined): boolean {
  if (after === undefined) return true;
  const [zone = ''] = after.split('/');
  if (backend.availabilityZone !== zone) return backend.availabilityZone > zone;
  return backendKeyOf(backend) > after;
}

/**
 * Reads one page of the backend servers, zone by zone. Only hosts of zones that the page needs are
 * queried.
 *
 * @param query - cursor and page size
 */
export async function readBackendsPage(
  sources: BackendsSources,
  { limit, after }: BackendsQuery,
): Promise<BackendsReply> {
  const [firstZone = ''] = after?.split('/') ?? [];
  const zones = sources.zones().filter((zone) => zone.availabilityZone >= firstZone);
  zones.sort((a, b) => (a.availabilityZone < b.availabilityZone ? -1 : 1));
  const found: BackendStatus[] = [];
  const missingHosts: string[] = [];
  while (zones.length > 0 && found.length <= limit) {
    const result = await readZones(sources, takeNextZones(zones));
    found.push(...result.backends.filter((backend) => isAfter(backend, after)));
    missingHosts.push(...result.missingHosts);
  }
  const backends = found.slice(0, limit);
  const last = backends.at(-1);
  if (found.length <= limit || last === undefined) return { backends, missingHosts };
  return { backends, missingHosts, next: backendKeyOf(last) };
}
