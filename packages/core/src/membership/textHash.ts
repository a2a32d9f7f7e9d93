const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/**
 * Hashes a text to 32 bits, evenly enough for orders and digests; not for secrets.
 *
 * @param text - text to hash
 */
export function hashText(text: string): number {
  let hash = fnvOffset;
  for (let index = 0; index < text.length; index += 1) {
    hash ^= text.charCodeAt(index);
    hash = Math.imul(hash, fnvPrime);
  }
  hash ^= hash >>> 16;
  hash = Math.imul(hash, 0x85ebca6b);
  hash ^= hash >>> 13;
  return hash >>> 0;
}
