/** Group of the settings that commits documents, steps of shifts and formations; no ledger. */
export const controlGroupId = 'control';
