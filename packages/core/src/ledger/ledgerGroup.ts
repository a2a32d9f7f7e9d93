import type { LedgerKey } from '@buckthornlug/protocol/steering/ledgerTypes.js';

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Hash of a text as an unsigned 32-bit number: FNV-1a with the finalizer of MurmurHash3. */
function hashText(text: string): number {
  let hash = fnvOffset;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Chooses the ledger group of an identity by rendezvous hashing.
 *
 * @param key - identity of the work
 * @param groups - ledger groups of the kind, in any order
 * @returns the group, or undefined where the kind names none
 */
export function ledgerGroupOf(
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
