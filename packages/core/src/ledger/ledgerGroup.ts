import type { LedgerKey } from '@buckthornlug/protocol/steering/ledgerTypes.js';

import { hashText } from '../hash/textHash.js';

/**
 * Selects the ledger group of an identity by rendezvous hashing. The result does not depend on the
 * order of the groups.
 *
 * @param groups - ledger groups of the kind
 * @returns the group, or undefined if `groups` is empty
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
