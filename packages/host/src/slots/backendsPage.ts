import type {
  BackendsQuery,
  BackendsReply,
  BackendStatus,
} from '@buckthornlug/protocol/admin/adminSchema.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { ResultAsync } from 'neverthrow';

import { keyOf, mergeBackends } from './backendsView.js';

/** Hosts asked at once. */
const hostsAtOnce = 64;

/** Hosts of an availability zone that may know backend servers. */
export interface ZoneOfHosts {
  readonly availabilityZone: string;
  readonly hostIds: readonly string[];
}

/** Where a page of backend servers comes from. */
export interface BackendsSources {
  readonly zones: () => readonly ZoneOfHosts[];
  readonly read: (hostId: string) => ResultAsync<BackendStatus[], Failure>;
}

/** What the hosts of some zones answered. */
interface ZonesView {
  readonly backends: readonly BackendStatus[];
  readonly missingHosts: readonly string[];
}

/** Takes the zones that are asked together off the list. */
function takeZones(zones: ZoneOfHosts[]): ZoneOfHosts[] {
  const taken: ZoneOfHosts[] = [];
  let hosts = 0;
  for (const zone of zones) {
    hosts += zone.hostIds.length;
    if (taken.length > 0 && hosts > hostsAtOnce) break;
    taken.push(zone);
  }
  zones.splice(0, taken.length);
  return taken;
}

async function readZones(
  sources: BackendsSources,
  zones: readonly ZoneOfHosts[],
): Promise<ZonesView> {
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

/** Whether a backend server stands behind the end of the page before. */
function isAfter(backend: BackendStatus, after: string | undefined): boolean {
  if (after === undefined) return true;
  const [zone = ''] = after.split('/');
  if (backend.availabilityZone !== zone) return backend.availabilityZone > zone;
  return keyOf(backend) > after;
}

/**
 * Reads one page of the backend servers, zone by zone, and asks only the hosts of the zones that the
 * page needs.
 *
 * @param sources - hosts and access to them
 * @param query - where the page starts and how long it is
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
    const view = await readZones(sources, takeZones(zones));
    found.push(...view.backends.filter((backend) => isAfter(backend, after)));
    missingHosts.push(...view.missingHosts);
  }
  const backends = found.slice(0, limit);
  const last = backends.at(-1);
  if (found.length <= limit || last === undefined) return { backends, missingHosts };
  return { backends, missingHosts, next: keyOf(last) };
}
