/** Memory for bodies that are kept whole, over all calls of the host. */
export interface BodyBudget {
  /** Takes memory; false where it would exceed the bound. */
  readonly take: (bytes: number) => boolean;
  readonly giveBack: (bytes: number) => void;
}

/**
 * Creates a budget.
 *
 * @param maxBytes - bound over all calls
 */
export function createBodyBudget(maxBytes: number): BodyBudget {
  let takenBytes = 0;
  return {
    take: (bytes) => {
      if (takenBytes + bytes > maxBytes) return false;
      takenBytes += bytes;
      return true;
    },
    giveBack: (bytes) => {
      takenBytes -= bytes;
    },
  };
}
