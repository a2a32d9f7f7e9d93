import { sameNames } from '../lists/sameNames.js';
import { scoreHostForPool, rankPoolHosts } from './poolOwner.js';

/** Owner of a pool with its score. */
interface ScoredOwner {
  readonly hostId: string;
  readonly score: number;
}

/** Share of added hosts above which all cached owners are dropped. */
const maxAddedShare = 0.25;

/**
 * Caches the owners of the pools of an availability zone. When the hosts change, a cached owner is
 * only compared with the added hosts; it is determined again only if it has left.
 */
export class ZoneOwners {
  private hostIds: readonly string[] = [];

  private readonly owners = new Map<string, ScoredOwner>();

  constructor(private readonly availabilityZone: string) {}

  /**
   * Sets the hosts that may own pools.
   *
   * @param hostIds - hosts of the zone that are alive
   * @returns whether the hosts have changed
   */
  change(hostIds: readonly string[]): boolean {
    if (sameNames(this.hostIds, hostIds)) return false;
    const before = new Set(this.hostIds);
    const present = new Set(hostIds);
    this.hostIds = hostIds;
    const added = hostIds.filter((hostId) => !before.has(hostId));
    if (added.length > hostIds.length * maxAddedShare) {
      this.owners.clear();
      return true;
    }
    for (const [service, owner] of this.owners) {
      if (present.has(owner.hostId)) this.owners.set(service, this.best(service, added, owner));
      else this.owners.delete(service);
    }
    return true;
  }

  /** Finds the owner of a pool; undefined if there is no host. */
  ownerOf(service: string): string | undefined {
    const known = this.owners.get(service);
    if (known !== undefined) return known.hostId;
    const [first, ...others] = this.hostIds;
    if (first === undefined) return undefined;
    const owner = this.best(service, others, this.scoreHost(service, first));
    this.owners.set(service, owner);
    return owner.hostId;
  }

  /**
   * Finds the owner that a pool would have without some hosts.
   *
   * @param excluded - hosts to leave out
   */
  ownerWithout(service: string, excluded: readonly string[]): string | undefined {
    const owner = this.ownerOf(service);
    if (owner === undefined || !excluded.includes(owner)) return owner;
    const ranked = rankPoolHosts(this.availabilityZone, service, this.hostIds);
    return ranked.find((hostId) => !excluded.includes(hostId));
  }

  private scoreHost(service: string, hostId: string): ScoredOwner {
    return { hostId, score: scoreHostForPool(this.availabilityZone, service, hostId) };
  }

  /** First of an owner and other hosts in the order of `rankPoolHosts`. */
  private best(service: string, hostIds: readonly string[], owner: ScoredOwner): ScoredOwner {
    let best = owner;
    for (const hostId of hostIds) {
      const score = scoreHostForPool(this.availabilityZone, service, hostId);
      const isTie = score === best.score;
      const isBetter = isTie ? hostId.localeCompare(best.hostId) < 0 : score > best.score;
      if (isBetter) best = { hostId, score };
    }
    return best;
  }
}
