import type {
  ClientBlocks,
  SteeringDocument,
} from '@buckthornlug/protocol/document/documentTypes.js';

import { createTestDocument } from '../../fakes/testDocument.js';

/** A document of the target size, for benches. */

const blockCount = 100_000;
const siteCount = 3700;
const regionCount = 27;
/** Availability zones of the document. */
export const zoneCount = 79;
/** Sections of client blocks of the document. */
export const groupCount = 100;

/**
 * Names a zone of the large document.
 *
 * @param index - number of the zone, taken modulo their number
 */
export function zoneName(index: number): string {
  return `zone-${index % zoneCount}`;
}

function createBlock(index: number) {
  const first = 10 + (index >> 13);
  const block = `${first}.${(index >> 5) & 255}.${(index & 31) * 8}.0/${21 + (index % 6)}`;
  return { block, availabilityZone: zoneName(index) };
}

/**
 * Creates the client blocks of the target size.
 *
 * @param groups - sections to divide them into
 */
export function createGroups(groups: number): Record<string, ClientBlocks> {
  const sections: Record<string, ClientBlocks> = {};
  const perGroup = blockCount / groups;
  for (let group = 0; group < groups; group += 1) {
    const first = group * perGroup;
    sections[`group-${group}`] = Array.from({ length: perGroup }, (_, index) =>
      createBlock(first + index),
    );
  }
  return sections;
}

/** A document of the target size: each site is a service of its own. */
export function createLargeDocument(): SteeringDocument {
  const small = createTestDocument();
  const [service] = Object.values(small.services);
  const [traffic] = Object.values(small.traffic);
  if (service === undefined || traffic === undefined) throw new Error('the document is empty');
  const sites = Array.from({ length: siteCount }, (_, index) => `site-${index}`);
  const regions = Array.from({ length: regionCount }, (_, region) => ({
    id: `region-${region}`,
    availabilityZones: Array.from({ length: zoneCount }, (__, zone) => zone)
      .filter((zone) => zone % regionCount === region)
      .map(zoneName),
  }));
  return {
    ...small,
    network: { ...small.network, regions, links: [] },
    clientBlocks: createGroups(groupCount),
    services: Object.fromEntries(
      sites.map((site) => [site, { ...service, hostNames: [`${site}.example`] }]),
    ),
    traffic: Object.fromEntries(sites.map((site) => [site, { ...traffic }])),
  };
}
