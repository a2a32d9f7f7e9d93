const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * Hashes a text to 32 bits: FNV-1a with the finalizer of MurmurHash3, so that similar names get
 * unrelated values. It serves ordering, rendezvous hashing and digests, not secrets. All hosts must use
 * the same hash, since it determines the ledger group of an identity and the owner of a pool.
 */
export function hashText(text: string): number {
  let hash = fnvOffset;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
  }
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}
