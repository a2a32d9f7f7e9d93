import type { DocumentInForce, DocumentView } from './hostTypes.js';

/** Keeps the document in force; the feature that receives documents puts newer ones in. */
export interface DocumentHolder extends DocumentView {
  /**
   * Brings a document in force.
   *
   * @returns false where a document of the same or a higher version is in force already
   */
  readonly put: (next: DocumentInForce) => boolean;
}

/**
 * Creates a holder.
 *
 * @param initial - document in force from the start, if any
 */
export function createDocumentHolder(initial?: DocumentInForce): DocumentHolder {
  let inForce = initial;
  const listeners = new Set<(next: DocumentInForce) => void>();
  return {
    current: () => inForce,
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    put: (next) => {
      if (inForce !== undefined && next.version <= inForce.version) return false;
      inForce = next;
      for (const listener of listeners) listener(next);
      return true;
    },
  };
}
