/**
 * Encodes client blocks as sortable numbers: the address in the highest bits, then the length of the
 * prefix, then the index of the availability zone. Keys stay below 2^53, so that a double represents
 * them exactly.
 */

const zoneFactor = 4096;
const lengthFactor = 64;
const addressFactor = zoneFactor * lengthFactor;

/** Number of leading bits of an address that select its page. */
export const pageBits = 12;
/** Number of pages in the IPv4 address space. */
export const pageCount = 2 ** pageBits;
/** Number of addresses in a page. */
export const addressesPerPage = 2 ** (32 - pageBits);

/** Sorted keys of blocks. */
export type BlockKeys = Float64Array;

const emptyKeys: BlockKeys = new Float64Array(0);

export function blockKey(start: number, prefixLength: number, zoneIndex: number): number {
  return start * addressFactor + prefixLength * zoneFactor + zoneIndex;
}

export function keyStart(key: number): number {
  return Math.floor(key / addressFactor);
}

export function keyPrefixLength(key: number): number {
  return Math.floor(key / zoneFactor) % lengthFactor;
}

export function keyZoneIndex(key: number): number {
  return key % zoneFactor;
}

/** Index of the page that contains an address. */
export function pageIndexOf(address: number): number {
  return Math.floor(address / addressesPerPage);
}

/** Index of the first key that is not below a bound. */
function lowerBound(keys: BlockKeys, bound: number): number {
  let low = 0;
  let high = keys.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((keys[middle] ?? 0) < bound) low = middle + 1;
    else high = middle;
  }
  return low;
}

/**
 * Returns a view of the keys of one page, without copying them.
 *
 * @param keys - sorted keys
 * @param page - index of the page
 */
export function pageSlice(keys: BlockKeys | undefined, page: number): BlockKeys {
  if (keys === undefined || keys.length === 0) return emptyKeys;
  const from = lowerBound(keys, page * addressesPerPage * addressFactor);
  const to = lowerBound(keys, (page + 1) * addressesPerPage * addressFactor);
  return from === to ? emptyKeys : keys.subarray(from, to);
}

/** Blocks given by their sorted keys. */
export interface BlockKeySource {
  readonly keys: BlockKeys;
}

/** Merges the sorted keys of several sources into one sorted list. */
export function mergeKeys(sources: readonly BlockKeySource[]): BlockKeys {
  const total = sources.reduce((sum, { keys }) => sum + keys.length, 0);
  const merged = new Float64Array(total);
  let offset = 0;
  for (const { keys } of sources) {
    merged.set(keys, offset);
    offset += keys.length;
  }
  return merged.sort();
}

export function equalKeys(left: BlockKeys, right: BlockKeys): boolean {
  if (left.length !== right.length) return false;
  for (let index = 0; index < left.length; index += 1) {
    if (left[index] !== right[index]) return false;
  }
  return true;
}
