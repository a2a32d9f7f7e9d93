import type { LedgerKey } from '@buckthornlug/protocol/steering/ledgerTypes.js';

import { hashText } from '../hash/textHash.js';

/**
 * Chooses the ledger group of an identity by rendezvous hashing.
 *
 * @param key - identity of the work
 * @param groups - ledger groups of the kind, in any order
 * @returns the group, or undefined where the kind names none
 */
export function selectLedgerGroup(
  key: Pick<LedgerKey, 'service' | 'kind' | 'identity'>,
  groups: readonly string[],
): string | undefined {
  let chosen: { group: string; weight: number } | undefined;
  for (const group of [...groups].sort()) {
    const weight = hashText([group, key.service, key.kind, key.identity].join('\n'));
    if (chosen === undefined || weight > chosen.weight) chosen = { group, weight };
  }
  return chosen?.group;
}
