/** Memory for bodies that are kept whole, over all calls of the host. */
export interface BodyBudget {
  /** Takes memory; false where it would exceed the bound. */
  readonly tryReserve: (bytes: number) => boolean;
  readonly release: (bytes: number) => void;
}

/**
 * Creates a budget.
 *
 * @param maxBytes - bound over all calls
 */
export function createBodyBudget(maxBytes: number): BodyBudget {
  let reservedBytes = 0;
  return {
    tryReserve: (bytes) => {
      if (reservedBytes + bytes > maxBytes) return false;
      reservedBytes += bytes;
      return true;
    },
    release: (bytes) => {
      reservedBytes -= bytes;
    },
  };
}
