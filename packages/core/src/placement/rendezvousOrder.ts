import { hashText } from '../hash/textHash.js';

/** Which backend servers handle which objects, agreed on by all hosts without messages. */

/** Orders kept; all are dropped when the limit is reached. */
const maxKeptOrders = 5000;

/** What the order needs to know of a backend server. */
export interface OrderedBackend {
  readonly record: { readonly backendId: string };
}

/** Rendezvous order of the backend servers of one place for each object. */
export class ObjectOrder<Backend extends OrderedBackend> {
  private readonly orders = new Map<string, readonly Backend[]>();

  /**
   * @param backends - backend servers of the place
   */
  constructor(private readonly backends: readonly Backend[]) {}

  /** Whether it orders just these backend servers. */
  isOf(backends: readonly Backend[]): boolean {
    if (backends.length !== this.backends.length) return false;
    return backends.every((backend, index) => backend === this.backends[index]);
  }

  /**
   * Backend servers in the order in which they should handle an object.
   *
   * @param key - object
   */
  of(key: string): readonly Backend[] {
    const known = this.orders.get(key);
    if (known !== undefined) return known;
    const ranked = this.backends.map((backend) => {
      const { backendId } = backend.record;
      return { backend, backendId, weight: hashText(`${key} ${backendId}`) };
    });
    ranked.sort(
      (left, right) => right.weight - left.weight || (left.backendId < right.backendId ? -1 : 1),
    );
    const order = ranked.map(({ backend }) => backend);
    if (this.orders.size >= maxKeptOrders) this.orders.clear();
    this.orders.set(key, order);
    return order;
  }
}
