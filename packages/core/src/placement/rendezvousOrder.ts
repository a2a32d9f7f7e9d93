import { hashText } from '../hash/textHash.js';

/** Assigns objects to backend servers by rendezvous hashing, so that all hosts agree without messages. */

/** Size of the cache of orders, which is cleared when it is full. */
const maxCachedOrders = 5000;

/** Fields of a backend server that the order depends on. */
export interface OrderedBackend {
  readonly record: { readonly backendId: string };
}

/** Rendezvous order of the backend servers of one group for each object. */
export class RendezvousOrder<Backend extends OrderedBackend> {
  private readonly cachedOrders = new Map<string, readonly Backend[]>();

  /**
   * @param backends - backend servers of the group
   */
  constructor(private readonly backends: readonly Backend[]) {}

  /** Whether the group has exactly these backend servers, in this sequence. */
  covers(backends: readonly Backend[]): boolean {
    if (backends.length !== this.backends.length) return false;
    return backends.every((backend, index) => backend === this.backends[index]);
  }

  /**
   * Backend servers of the group, the most preferred for an object first.
   *
   * @param key - key of the object
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
