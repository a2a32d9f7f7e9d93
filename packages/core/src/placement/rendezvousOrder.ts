import { hashText } from '../hash/textHash.js';

/** Which backend servers handle which objects, agreed on by all hosts without messages. */

/** Orders kept; all are dropped when the limit is reached. */
const maxCachedOrders = 5000;

/** What the order needs to know of a backend server. */
export interface OrderedBackend {
  readonly record: { readonly backendId: string };
}

/** Rendezvous order of the backend servers of one place for each object. */
export class RendezvousOrder<Backend extends OrderedBackend> {
  private readonly cachedOrders = new Map<string, readonly Backend[]>();

  /**
   * @param backends - backend servers of the place
   */
  constructor(private readonly backends: readonly Backend[]) {}

  /** Whether it orders just these backend servers. */
  covers(backends: readonly Backend[]): boolean {
    if (backends.length !== this.backends.length) return false;
    return backends.every((backend, index) => backend === this.backends[index]);
  }

  /**
   * Backend servers in the order in which they should handle an object.
   *
   * @param key - object
   */
  orderFor(key: string): readonly Backend[] {
    const cached = this.cachedOrders.get(key);
    if (cached !== undefined) return cached;
    const ranked = this.backends.map((backend) => {
      const { backendId } = backend.record;
      return { backend, backendId, weight: hashText(`${key} ${backendId}`) };
    });
    ranked.sort(
      (left, right) => right.weight - left.weight || (left.backendId < right.backendId ? -1 : 1),
    );
    const order = ranked.map(({ backend }) => backend);
    if (this.cachedOrders.size >= maxCachedOrders) this.cachedOrders.clear();
    this.cachedOrders.set(key, order);
    return order;
  }
}
