/** Choice of the host that owns a pool, by rendezvous hashing. */

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** 32-bit FNV-1a hash with a final mix, so that similar names get unrelated values. */
function hashText(text: string): number {
  let hash = fnvOffset;
  for (let index = 0; index < text.length; index += 1) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, fnvPrime);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  hash = Math.imul(hash, 0xc2b2ae35);
  hash ^= hash >>> 16;
  return hash >>> 0;
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
    score: hashText(`${availabilityZone}/${service}/${hostId}`),
  }));
  scored.sort((a, b) => b.score - a.score || a.hostId.localeCompare(b.hostId));
  return scored.map((entry) => entry.hostId);
}

/**
 * Names the owner of a pool.
 *
 * @param availabilityZone - zone of the pool
 * @param service - service of the pool
 * @param hostIds - hosts of the zone that are alive
 * @returns the owner, or undefined where no host is alive
 */
export function poolOwner(
  availabilityZone: string,
  service: string,
  hostIds: readonly string[],
): string | undefined {
  return rankPoolHosts(availabilityZone, service, hostIds)[0];
}
