import {
  compileClientBlocks,
  findZoneOfAddress,
} from '@buckthornlug/core/table/clientBlockTable.js';
import { parseClientBlocks } from '@buckthornlug/core/table/parsedBlocks.js';
import { compileTable } from '@buckthornlug/core/table/table.js';
import { hashText } from '@buckthornlug/core/hash/textHash.js';
import type { ClientBlocks } from '@buckthornlug/protocol/document/documentTypes.js';

import { atMost, type BenchReport, type Experiment } from '../benchTypes.js';
import { createSeededRandom, type SeededRandom } from '../../fakes/seededRandom.js';
import {
  createGroups,
  createLargeDocument,
  groupCount,
  zoneCount,
  zoneName,
} from './largeDocument.js';
import { median } from './slope.js';

const runs = 11;
const matches = 1_000_000;
/** Largest time of a match. */
const matchBoundUs = 1;
/** Entries of a chunk on average. */
const chunkEntries = 64;

function timeMs(run: () => void): number {
  const startMs = performance.now();
  run();
  return performance.now() - startMs;
}

function medianMs(run: (index: number) => void): number {
  return median(Array.from({ length: runs }, (_, index) => timeMs(() => run(index))));
}

/** Moves one block of a section to another zone. */
function editOne(section: ClientBlocks, index: number): ClientBlocks {
  const edited = [...section];
  const entry = edited[index % edited.length];
  if (entry !== undefined) {
    edited[index % edited.length] = { ...entry, availabilityZone: zoneName(index + 7) };
  }
  return edited;
}

function zoneIndexes(): ReadonlyMap<string, number> {
  return new Map(Array.from({ length: zoneCount }, (_, index) => [zoneName(index), index]));
}

/**
 * Reads a section in chunks whose boundaries depend on their content, and takes chunks that were
 * read before from a memory; as Incoop does with the input of its tasks.
 */
function parseInChunks(
  section: ClientBlocks,
  zones: ReadonlyMap<string, number>,
  memory: Map<string, Float64Array>,
): Float64Array {
  const parts: Float64Array[] = [];
  let first = 0;
  let digest = 0;
  let second = 0;
  const close = (end: number) => {
    const key = `${digest} ${second} ${end - first}`;
    const known = memory.get(key);
    const keys = known ?? parseClientBlocks(section.slice(first, end), zones).keys;
    if (known === undefined) memory.set(key, keys);
    parts.push(keys);
    first = end;
    digest = 0;
    second = 0;
  };
  for (const [index, entry] of section.entries()) {
    const hash = hashText(`${entry.block} ${entry.availabilityZone}`);
    digest = (Math.imul(digest, 31) + hash) | 0;
    second = (Math.imul(second, 65_599) ^ hash) | 0;
    if (hash % chunkEntries === 0) close(index + 1);
  }
  if (first < section.length) close(section.length);
  const all = new Float64Array(parts.reduce((sum, part) => sum + part.length, 0));
  let offset = 0;
  for (const part of parts) {
    all.set(part, offset);
    offset += part.length;
  }
  return all.sort();
}

/** Reads one section of all blocks whole and in chunks, with one block changed each time. */
function measureChunks() {
  const zones = zoneIndexes();
  const [whole = []] = Object.values(createGroups(1));
  const memory = new Map<string, Float64Array>();
  parseInChunks(whole, zones, memory);
  return {
    oneSectionWholeMs: medianMs((index) => {
      parseClientBlocks(editOne(whole, index * 911), zones);
    }),
    oneSectionInChunksMs: medianMs((index) => {
      parseInChunks(editOne(whole, index * 911), zones, memory);
    }),
  };
}

/** Time of one match in microseconds. */
function measureMatch(random: SeededRandom): number {
  const names = Array.from({ length: zoneCount }, (_, index) => zoneName(index));
  const table = compileClientBlocks(createGroups(groupCount), names);
  const addresses = Array.from({ length: 4096 }, () => {
    const part = () => Math.floor(random() * 256);
    return `${10 + Math.floor(random() * 13)}.${part()}.${part()}.${part()}`;
  });
  let found = 0;
  const look = () => {
    for (let index = 0; index < matches; index += 1) {
      const address = addresses[index & 4095] ?? '';
      if (findZoneOfAddress(table, address) !== undefined) found += 1;
    }
  };
  look();
  const tookMs = timeMs(look);
  if (found === 0) throw new Error('no address was found');
  return (tookMs * 1000) / matches;
}

function measure(seed: number): BenchReport {
  const document = createLargeDocument();
  const table = compileTable(document);
  const fullMs = medianMs(() => compileTable(document));
  const group = document.clientBlocks['group-5'] ?? [];
  const blocksMs = medianMs((index) => {
    const clientBlocks = { ...document.clientBlocks, 'group-5': editOne(group, index) };
    compileTable({ ...document, clientBlocks }, table);
  });
  const site = document.services['site-9'];
  if (site === undefined) throw new Error('the document has no site');
  const serviceMs = medianMs(() => {
    const services = { ...document.services, 'site-9': { ...site } };
    compileTable({ ...document, services }, table);
  });
  const matchUs = measureMatch(createSeededRandom(seed));
  return {
    experiment: 'recompile',
    seed,
    rows: [
      { condition: 'whole document', figures: { compileMs: fullMs } },
      { condition: 'one of 100 sections of client blocks', figures: { compileMs: blocksMs } },
      { condition: 'one of 3,700 services', figures: { compileMs: serviceMs } },
      { condition: 'one section of 100,000 blocks', figures: measureChunks() },
      { condition: 'match of an address', figures: { matchUs } },
    ],
    bounds: [
      atMost('matchUs', matchUs, matchBoundUs),
      atMost('incrementalMs of blocks, against the full compile', blocksMs, fullMs),
    ],
  };
}

/** Full against incremental compile of the steering table at the target size. */
export const recompileExperiment: Experiment = {
  name: 'recompile',
  describe: 'full and incremental compile at 100,000 client blocks and 3,700 sites',
  run: (options) => Promise.resolve(measure(options.seed)),
};
