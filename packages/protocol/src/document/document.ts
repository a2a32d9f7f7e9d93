import { err, ok, type Result } from 'neverthrow';

import { faultsOf } from '../common/faults.js';
import { failure, type Failure, type Fault } from '../results/failure.js';
import { documentSchema } from './documentSchema.js';
import type { SteeringDocument } from './documentTypes.js';

/** IDs that the sections of a document may refer to. */
interface KnownIds {
  readonly regions: ReadonlySet<string>;
  readonly zones: ReadonlySet<string>;
  readonly ranks: ReadonlySet<string>;
}

function knownIds(document: SteeringDocument): KnownIds {
  return {
    regions: new Set(document.network.regions.map((region) => region.id)),
    zones: new Set(document.network.regions.flatMap((region) => region.availabilityZones)),
    ranks: new Set(document.ranks.map((rank) => rank.id)),
  };
}

function unknownIdFaults(
  ids: ReadonlySet<string>,
  id: string,
  label: string,
  path: string,
): Fault[] {
  if (ids.has(id)) return [];
  return [{ path, problem: `${label} "${id}" does not exist` }];
}

function duplicateIdFaults(ids: readonly string[], label: string, path: string): Fault[] {
  const seen = new Set<string>();
  const faults: Fault[] = [];
  for (const [index, id] of ids.entries()) {
    if (seen.has(id))
      faults.push({ path: `${path}/${index}`, problem: `${label} "${id}" stands twice` });
    seen.add(id);
  }
  return faults;
}

function networkFaults(document: SteeringDocument, known: KnownIds): Fault[] {
  const { regions, links } = document.network;
  const faults = duplicateIdFaults(
    regions.map((region) => region.id),
    'region',
    'network/regions',
  );
  const zones = regions.flatMap((region) => region.availabilityZones);
  faults.push(...duplicateIdFaults(zones, 'availability zone', 'network/availabilityZones'));
  const pairs = links.map((link) => [link.from, link.to].sort().join(' '));
  faults.push(...duplicateIdFaults(pairs, 'link', 'network/links'));
  for (const [index, link] of links.entries()) {
    const path = `network/links/${index}`;
    faults.push(...unknownIdFaults(known.regions, link.from, 'region', `${path}/from`));
    faults.push(...unknownIdFaults(known.regions, link.to, 'region', `${path}/to`));
    if (link.from === link.to) faults.push({ path, problem: 'a link joins two different regions' });
  }
  return faults;
}

function rankFaults(document: SteeringDocument): Fault[] {
  const ids = document.ranks.map((rank) => rank.id);
  const faults = duplicateIdFaults(ids, 'rank', 'ranks');
  const floorSum = document.ranks.reduce((sum, rank) => sum + rank.floorPermille, 0);
  if (floorSum > 1000) {
    faults.push({
      path: 'ranks',
      problem: `floors add up to ${floorSum} permille, more than 1000`,
    });
  }
  return faults;
}

function kindFaults(document: SteeringDocument, known: KnownIds): Fault[] {
  const faults: Fault[] = [];
  for (const [serviceId, service] of Object.entries(document.services)) {
    const kindIds = service.kinds.map((kind) => kind.id);
    faults.push(...duplicateIdFaults(kindIds, 'kind', `services/${serviceId}/kinds`));
    for (const [index, kind] of service.kinds.entries()) {
      const path = `services/${serviceId}/kinds/${index}`;
      faults.push(...unknownIdFaults(known.ranks, kind.rank, 'rank', `${path}/rank`));
      if (kind.execution === 'once' && kind.identity === undefined) {
        faults.push({ path: `${path}/identity`, problem: 'execution once needs an identity' });
      }
      if (kind.execution === 'once' && kind.ledgerGroups.length === 0) {
        faults.push({
          path: `${path}/ledgerGroups`,
          problem: 'execution once needs a ledger group',
        });
      }
      if (kind.hedge && kind.execution !== 'idempotent') {
        faults.push({ path: `${path}/hedge`, problem: 'only idempotent work may be hedged' });
      }
    }
  }
  return faults;
}

function hostNameFaults(document: SteeringDocument): Fault[] {
  const owners = new Map<string, string>();
  const faults: Fault[] = [];
  for (const [serviceId, service] of Object.entries(document.services)) {
    for (const [index, name] of service.hostNames.entries()) {
      const owner = owners.get(name);
      const path = `services/${serviceId}/hostNames/${index}`;
      if (owner !== undefined) faults.push({ path, problem: `"${name}" belongs to "${owner}"` });
      owners.set(name, serviceId);
    }
  }
  return faults;
}

function trafficFaults(document: SteeringDocument, known: KnownIds): Fault[] {
  const faults: Fault[] = [];
  for (const [serviceId, traffic] of Object.entries(document.traffic)) {
    const path = `traffic/${serviceId}`;
    if (document.services[serviceId] === undefined) {
      faults.push({ path, problem: `service "${serviceId}" does not exist` });
    }
    for (const region of Object.keys(traffic.weights)) {
      faults.push(...unknownIdFaults(known.regions, region, 'region', `${path}/weights/${region}`));
    }
    for (const [index, region] of traffic.drainedRegions.entries()) {
      faults.push(
        ...unknownIdFaults(known.regions, region, 'region', `${path}/drainedRegions/${index}`),
      );
    }
    for (const [index, zone] of traffic.drainedZones.entries()) {
      const zonePath = `${path}/drainedZones/${index}`;
      faults.push(...unknownIdFaults(known.zones, zone, 'availability zone', zonePath));
    }
  }
  for (const serviceId of Object.keys(document.services)) {
    if (document.traffic[serviceId] !== undefined) continue;
    faults.push({
      path: `traffic/${serviceId}`,
      problem: 'each service needs its traffic section',
    });
  }
  return faults;
}

function clientBlockFaults(document: SteeringDocument, known: KnownIds): Fault[] {
  const faults: Fault[] = [];
  for (const [group, blocks] of Object.entries(document.clientBlocks)) {
    for (const [index, entry] of blocks.entries()) {
      const path = `clientBlocks/${group}/${index}/availabilityZone`;
      faults.push(
        ...unknownIdFaults(known.zones, entry.availabilityZone, 'availability zone', path),
      );
    }
  }
  return faults;
}

/**
 * Checks the consistency of the sections of a document.
 *
 * @param document - document that matches the schema
 * @returns every contradiction with its path
 */
export function crossSectionFaults(document: SteeringDocument): Fault[] {
  const known = knownIds(document);
  return [
    ...networkFaults(document, known),
    ...rankFaults(document),
    ...kindFaults(document, known),
    ...hostNameFaults(document),
    ...trafficFaults(document, known),
    ...clientBlockFaults(document, known),
  ];
}

/**
 * Validates a document and fills in the defaults.
 *
 * @param value - parsed JSON
 * @returns the document; BL2002 for wrong fields, BL2003 for contradictions, each fault with its path
 */
export function checkDocument(value: unknown): Result<SteeringDocument, Failure> {
  const parsed = documentSchema.safeParse(value);
  if (!parsed.success) {
    return err(failure('BL2002', 'the document is not valid', { faults: faultsOf(parsed.error) }));
  }
  const faults = crossSectionFaults(parsed.data);
  if (faults.length > 0) {
    return err(failure('BL2003', 'sections contradict each other', { faults }));
  }
  return ok(parsed.data);
}
