import type { ClientBlocks } from '@buckthornlug/protocol/document/documentTypes.js';

import { sameNames } from '../lists/sameNames.js';
import { ipv6Prefix, parseCallerAddress } from './addressBlock.js';
import { parseClientBlocks, type ParsedBlocks } from './parsedBlocks.js';
import { buildPage, emptyPage, findInPage, type BlockPage } from './blockPage.js';
import { equalKeys, mergeKeys, pageCount, pageIndexOf, pageSlice } from './blockKeys.js';

/** Sections `clientBlocks/<group>` by group. */
export type ClientBlockGroups = Readonly<Record<string, ClientBlocks>>;

/** Client blocks, compiled for finding the availability zone of an address. */
export interface ClientBlockTable {
  readonly zoneNames: readonly string[];
  /** Parsed sections by group, each with the section that it came from. */
  readonly parsed: ReadonlyMap<string, ParsedBlocks>;
  readonly pages: readonly BlockPage[];
  readonly ipv6: Ipv6Blocks;
}

/** IPv6 blocks by prefix, with one map per prefix length that occurs, the longest first. */
export type Ipv6Blocks = readonly {
  readonly prefixLength: number;
  readonly zones: ReadonlyMap<string, number>;
}[];

/** How much of a table was compiled rather than reused from the previous one. */
export interface RebuildCount {
  readonly sectionsParsed: number;
  readonly pagesBuilt: number;
}

function buildIpv6Blocks(parsed: Iterable<ParsedBlocks>): Ipv6Blocks {
  const byLength = new Map<number, Map<string, number>>();
  for (const section of parsed) {
    for (const block of section.ipv6) {
      const zones = byLength.get(block.prefixLength) ?? new Map<string, number>();
      byLength.set(block.prefixLength, zones);
      zones.set(block.prefix, block.zoneIndex);
    }
  }
  const lengths = [...byLength.keys()].sort((left, right) => right - left);
  return lengths.map((prefixLength) => ({
    prefixLength,
    zones: byLength.get(prefixLength) ?? new Map<string, number>(),
  }));
}

function parseSections(
  groups: ClientBlockGroups,
  zoneNames: readonly string[],
  previous: ClientBlockTable | undefined,
): Map<string, ParsedBlocks> {
  const zoneIndexes = new Map(zoneNames.map((name, index) => [name, index]));
  const parsed = new Map<string, ParsedBlocks>();
  for (const [group, section] of Object.entries(groups)) {
    const previousBlocks = previous?.parsed.get(group);
    const blocks =
      previousBlocks?.section === section
        ? previousBlocks
        : parseClientBlocks(section, zoneIndexes);
    parsed.set(group, blocks);
  }
  return parsed;
}

/** Lists the pages whose blocks differ between two versions of a section. */
function findDifferingPages(
  before: ParsedBlocks | undefined,
  after: ParsedBlocks | undefined,
): number[] {
  const pages: number[] = [];
  for (let page = 0; page < pageCount; page += 1) {
    if (equalKeys(pageSlice(before?.keys, page), pageSlice(after?.keys, page))) continue;
    pages.push(page);
  }
  return pages;
}

function findChangedPages(
  previous: ClientBlockTable,
  parsed: ReadonlyMap<string, ParsedBlocks>,
): ReadonlySet<number> {
  const changed: number[] = [];
  for (const [group, section] of parsed) {
    const before = previous.parsed.get(group);
    if (before !== section) changed.push(...findDifferingPages(before, section));
  }
  for (const [group, before] of previous.parsed) {
    if (!parsed.has(group)) changed.push(...findDifferingPages(before, undefined));
  }
  return new Set(changed);
}

/**
 * Compiles client blocks. Sections that are the same objects as in the previous table are not parsed
 * again, and only pages whose blocks differ are rebuilt.
 *
 * @param groups - sections of client blocks
 * @param zoneNames - availability zones of the document
 * @param previous - table from which unchanged sections and pages are reused
 */
export function compileClientBlocks(
  groups: ClientBlockGroups,
  zoneNames: readonly string[],
  previous?: ClientBlockTable,
): ClientBlockTable {
  const reusable =
    previous !== undefined && sameNames(previous.zoneNames, zoneNames) ? previous : undefined;
  const parsed = parseSections(groups, zoneNames, reusable);
  const changed = reusable === undefined ? undefined : findChangedPages(reusable, parsed);
  const sections = [...parsed.values()];
  // A merged list needs one search per page instead of one per page and section.
  const sources = changed === undefined ? [{ keys: mergeKeys(sections) }] : sections;
  const pages: BlockPage[] = [];
  for (let page = 0; page < pageCount; page += 1) {
    const reused = changed?.has(page) === false ? reusable?.pages[page] : undefined;
    pages.push(reused ?? buildPage(sources, page));
  }
  return { zoneNames, parsed, pages, ipv6: buildIpv6Blocks(sections) };
}

function matchIpv6(table: ClientBlockTable, bytes: readonly number[]): number | undefined {
  for (const { prefixLength, zones } of table.ipv6) {
    const zoneIndex = zones.get(ipv6Prefix(bytes, prefixLength));
    if (zoneIndex !== undefined) return zoneIndex;
  }
  return undefined;
}

/**
 * Finds the availability zone of the longest block that contains an address.
 *
 * @param table - compiled blocks
 * @param address - numeric IP address
 * @returns the availability zone, or undefined if no block contains the address
 */
export function findZoneOfAddress(table: ClientBlockTable, address: string): string | undefined {
  const parsed = parseCallerAddress(address);
  if (parsed === undefined) return undefined;
  if (parsed.family === 'ipv6') {
    const zoneIndex = matchIpv6(table, parsed.bytes);
    return zoneIndex === undefined ? undefined : table.zoneNames[zoneIndex];
  }
  const page = table.pages[pageIndexOf(parsed.address)] ?? emptyPage;
  const zoneIndex = findInPage(page, parsed.address);
  return zoneIndex < 0 ? undefined : table.zoneNames[zoneIndex];
}

/**
 * Counts the sections and pages that a table does not share with an earlier one.
 *
 * @param table - newer table
 * @param previous - older table
 */
export function countRebuilt(table: ClientBlockTable, previous: ClientBlockTable): RebuildCount {
  let sectionsParsed = 0;
  for (const [group, section] of table.parsed) {
    if (previous.parsed.get(group) !== section) sectionsParsed += 1;
  }
  let pagesBuilt = 0;
  for (const [index, page] of table.pages.entries()) {
    if (previous.pages[index] !== page) pagesBuilt += 1;
  }
  return { sectionsParsed, pagesBuilt };
}
