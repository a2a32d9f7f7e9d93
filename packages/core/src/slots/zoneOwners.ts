import { sameNames } from '../lists/sameNames.js';
import { scoreHostForPool, rankPoolHosts } from './poolOwner.js';

/** Owner of a pool with its score. */
interface ScoredOwner {
  readonly hostId: string;
  readonly score: number;
}

/** Share of new hosts above which the owners are looked for anew. */
const maxAddedShare = 0.25;

/**
 * Owners of the pools of an availability zone. An owner is kept over changes of the hosts: it is
 * compared with hosts that came, and looked for anew only where it has gone.
 */
export class ZoneOwners {
  private hostIds: readonly string[] = [];

  private readonly owners = new Map<string, ScoredOwner>();

  /**
   * @param availabilityZone - zone of the pools
   */
  constructor(private readonly availabilityZone: string) {}

  /**
   * Takes over the hosts that may own pools.
   *
   * @param hostIds - hosts of the zone that are alive
   * @returns whether they differ from those before
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

  /**
   * Names the owner of a pool; undefined where no host may own it.
   *
   * @param service - service of the pool
   */
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
   * Names the host that owns a pool where others cannot.
   *
   * @param service - service of the pool
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

  /** The best of an owner and other hosts, by the order of `rankPoolHosts`. */
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
