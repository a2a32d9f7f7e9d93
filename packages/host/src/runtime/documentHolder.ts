import type { DocumentInForce, DocumentView } from './hostTypes.js';

/** Holds the document in force; the feature that receives documents replaces it with newer ones. */
export interface DocumentHolder extends DocumentView {
  /**
   * Puts a document in force, unless one of the same or a higher version already is.
   *
   * @returns whether the document was put in force
   */
  readonly replaceIfNewer: (next: DocumentInForce) => boolean;
}

/**
 * Creates a holder of the document in force.
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
    replaceIfNewer: (next) => {
      if (inForce !== undefined && next.version <= inForce.version) return false;
      inForce = next;
      for (const listener of listeners) listener(next);
      return true;
    },
  };
}
