/** Memory budget for buffered bodies, shared by all calls of the host. */
export interface BodyBudget {
  /** Reserves memory; returns false if that would exceed the budget. */
  readonly tryReserve: (bytes: number) => boolean;
  readonly release: (bytes: number) => void;
}

/** Creates a budget of `maxBytes` for all calls together. */
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
