/** Id of the group that commits documents, shift steps and formations; it holds no ledger. */
export const controlGroupId = 'control';
