import { hashText } from '../hash/textHash.js';

/** Choice of the host that owns a pool, by rendezvous hashing. */

/**
 * Scores a host for a pool; the host with the highest score owns it.
 *
 * @param availabilityZone - zone of the pool
 * @param service - service of the pool
 * @param hostId - host of the zone
 */
export function scoreHostForPool(
  availabilityZone: string,
  service: string,
  hostId: string,
): number {
  return hashText(`${availabilityZone}/${service}/${hostId}`);
}

/**
 * Ranks the hosts of an availability zone for a pool; the first one owns it.
 *
 * @param availabilityZone - zone of the pool
 * @param service - service of the pool
 * @param hostIds - hosts of the zone that are alive
 * @returns the hosts, the owner first
 */
export function rankPoolHosts(
  availabilityZone: string,
  service: string,
  hostIds: readonly string[],
): string[] {
  const scored = hostIds.map((hostId) => ({
    hostId,
    score: scoreHostForPool(availabilityZone, service, hostId),
  }));
  scored.sort((a, b) => b.score - a.score || a.hostId.localeCompare(b.hostId));
  return scored.map((entry) => entry.hostId);
}

/**
 * Finds the owner of a pool.
 *
 * @param availabilityZone - zone of the pool
 * @param service - service of the pool
 * @param hostIds - hosts of the zone that are alive
 * @returns the owner; undefined if no host is alive
 */
export function findPoolOwner(
  availabilityZone: string,
  service: string,
  hostIds: readonly string[],
): string | undefined {
  return rankPoolHosts(availabilityZone, service, hostIds)[0];
}
