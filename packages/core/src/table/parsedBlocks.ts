import type { ClientBlocks } from '@buckthornlug/protocol/document/documentTypes.js';
import ipaddr from 'ipaddr.js';

import { ipv6Prefix, parseIpv4Block } from './addressBlock.js';
import { blockKey, pageBits, addressesPerPage, type BlockKeys } from './blockKeys.js';

/** An IPv6 block of a section. */
export interface ParsedIpv6Block {
  readonly prefixLength: number;
  readonly prefix: string;
  readonly zoneIndex: number;
}

/** A parsed section of client blocks. */
export interface ParsedBlocks {
  /** Section that was parsed; compared by identity to detect changes. */
  readonly section: ClientBlocks;
  /** Sorted keys of the IPv4 blocks. */
  readonly keys: BlockKeys;
  readonly ipv6: readonly ParsedIpv6Block[];
}

function parseIpv6Block(text: string, zoneIndex: number): ParsedIpv6Block {
  const [address, prefixLength] = ipaddr.IPv6.parseCIDR(text);
  return { prefixLength, prefix: ipv6Prefix(address.toByteArray(), prefixLength), zoneIndex };
}

/** Adds one key for each page that a block covers. */
function addKeys(keys: number[], start: number, prefixLength: number, zoneIndex: number): void {
  const copies = prefixLength < pageBits ? 2 ** (pageBits - prefixLength) : 1;
  for (let copy = 0; copy < copies; copy += 1) {
    keys.push(blockKey(start + copy * addressesPerPage, prefixLength, zoneIndex));
  }
}

/**
 * Parses a section of client blocks.
 *
 * @param section - section of a checked document
 * @param zoneIndexes - index of each availability zone; blocks of unknown zones are left out
 */
export function parseClientBlocks(
  section: ClientBlocks,
  zoneIndexes: ReadonlyMap<string, number>,
): ParsedBlocks {
  const keys: number[] = [];
  const ipv6: ParsedIpv6Block[] = [];
  for (const entry of section) {
    const zoneIndex = zoneIndexes.get(entry.availabilityZone);
    if (zoneIndex === undefined) continue;
    const ipv4 = parseIpv4Block(entry.block);
    if (ipv4 === undefined) ipv6.push(parseIpv6Block(entry.block, zoneIndex));
    else addKeys(keys, ipv4.start, ipv4.prefixLength, zoneIndex);
  }
  return { section, keys: Float64Array.from(keys).sort(), ipv6 };
}
