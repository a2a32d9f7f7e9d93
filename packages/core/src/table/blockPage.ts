import {
  keyPrefixLength,
  keyStart,
  keyZoneIndex,
  mergeKeys,
  pageIndexOf,
  pageSlice,
  addressesPerPage,
  type BlockKeys,
  type BlockKeySource,
} from './blockKeys.js';

/** Contiguous address ranges with the availability zone of each. */
export interface BlockPage {
  /** First address of each range, in ascending order. */
  readonly starts: Uint32Array;
  /** Index of the zone of each range; `noZoneIndex` if no block contains the range. */
  readonly zones: Uint16Array;
}

/** Zone index of addresses that no block contains. */
const noZoneIndex = 0xffff;

/** Page without blocks. */
export const emptyPage: BlockPage = { starts: new Uint32Array(0), zones: new Uint16Array(0) };

/** A block whose end the builder has not reached yet. */
interface OpenBlock {
  readonly endExclusive: number;
  readonly zone: number;
}

/** Flattens nested blocks into ranges that do not overlap. */
class RangeBuilder {
  private readonly starts: number[] = [];

  private readonly zones: number[] = [];

  private readonly open: OpenBlock[] = [];

  /** Adds a block. Blocks must be added in order of their start, enclosing blocks first. */
  add(start: number, endExclusive: number, zone: number): void {
    this.closeBlocksUntil(start);
    this.startRange(start, zone);
    this.open.push({ endExclusive, zone });
  }

  finish(): BlockPage {
    this.closeBlocksUntil(Infinity);
    return { starts: Uint32Array.from(this.starts), zones: Uint16Array.from(this.zones) };
  }

  private closeBlocksUntil(address: number): void {
    let top = this.open.at(-1);
    while (top !== undefined && top.endExclusive <= address) {
      this.open.pop();
      if (top.endExclusive < 2 ** 32) {
        this.startRange(top.endExclusive, this.open.at(-1)?.zone ?? noZoneIndex);
      }
      top = this.open.at(-1);
    }
  }

  private startRange(start: number, zone: number): void {
    if (this.starts.at(-1) === start) {
      this.starts.pop();
      this.zones.pop();
    }
    if (this.zones.at(-1) === zone) return;
    this.starts.push(start);
    this.zones.push(zone);
  }
}

function keysOfPage(sections: readonly BlockKeySource[], page: number): BlockKeys | undefined {
  const slices = sections
    .map((section) => pageSlice(section.keys, page))
    .filter((slice) => slice.length > 0);
  const [first, ...others] = slices;
  if (first === undefined || others.length === 0) return first;
  return mergeKeys(slices.map((keys) => ({ keys })));
}

/**
 * Builds the ranges of one page.
 *
 * @param sections - sorted keys of the blocks
 * @param page - index of the page
 */
export function buildPage(sections: readonly BlockKeySource[], page: number): BlockPage {
  const keys = keysOfPage(sections, page);
  if (keys === undefined) return emptyPage;
  const builder = new RangeBuilder();
  for (const key of keys) {
    const start = keyStart(key);
    const pageEnd = (pageIndexOf(start) + 1) * addressesPerPage;
    const endExclusive = Math.min(start + 2 ** (32 - keyPrefixLength(key)), pageEnd);
    builder.add(start, endExclusive, keyZoneIndex(key));
  }
  return builder.finish();
}

/**
 * Finds the zone of an address.
 *
 * @param page - page that contains the address
 * @param address - IPv4 address as an unsigned number
 * @returns index of the zone, or -1 if no block contains the address
 */
export function findInPage(page: BlockPage, address: number): number {
  const { starts, zones } = page;
  let low = 0;
  let high = starts.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((starts[middle] ?? 0) <= address) low = middle + 1;
    else high = middle;
  }
  if (low === 0) return -1;
  const zone = zones[low - 1] ?? noZoneIndex;
  return zone === noZoneIndex ? -1 : zone;
}
