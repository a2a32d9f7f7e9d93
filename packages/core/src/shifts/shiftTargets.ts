import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import type { ShiftUnit } from '@buckthornlug/protocol/shifts/shiftSchema.js';

/** Where the traffic of a unit is to end up. */
export interface ShiftTarget extends ShiftUnit {
  readonly movedPermille: number;
}

const wholePermille = 1000;

type Region = SteeringDocument['network']['regions'][number];

function isRegionEmptied(
  document: SteeringDocument,
  service: string,
  region: Region,
  failed: ReadonlySet<string>,
): boolean {
  const traffic = document.traffic[service];
  if (failed.has(region.id)) return true;
  if (traffic === undefined) return false;
  if (traffic.drainedRegions.includes(region.id)) return true;
  return region.availabilityZones.every((zone) => traffic.drainedZones.includes(zone));
}

function regionTargets(
  document: SteeringDocument,
  service: string,
  failed: ReadonlySet<string>,
): ShiftTarget[] {
  const { regions } = document.network;
  const weights = document.traffic[service]?.weights ?? {};
  const receivers = regions.filter(
    (region) => !isRegionEmptied(document, service, region, failed),
  ).length;
  const targets: ShiftTarget[] = [];
  for (const region of regions) {
    const emptied = isRegionEmptied(document, service, region, failed);
    const others = emptied ? receivers : receivers - 1;
    const kept = emptied ? 0 : (weights[region.id] ?? wholePermille);
    const movedPermille = others > 0 ? wholePermille - kept : 0;
    targets.push({ service, scope: 'region', place: region.id, movedPermille });
  }
  return targets;
}

function zoneTargets(document: SteeringDocument, service: string): ShiftTarget[] {
  const drained = new Set(document.traffic[service]?.drainedZones ?? []);
  const targets: ShiftTarget[] = [];
  for (const region of document.network.regions) {
    const others = region.availabilityZones.filter((zone) => !drained.has(zone)).length;
    for (const zone of region.availabilityZones) {
      const movedPermille = drained.has(zone) && others > 0 ? wholePermille : 0;
      targets.push({ service, scope: 'zone', place: zone, movedPermille });
    }
  }
  return targets;
}

/**
 * Works out where the document and the failed regions want traffic to run in the end. Traffic is
 * moved only where another region or zone is left to take it.
 *
 * @param document - document in force
 * @param failed - regions without a living host
 */
export function shiftTargets(
  document: SteeringDocument,
  failed: ReadonlySet<string>,
): ShiftTarget[] {
  const targets: ShiftTarget[] = [];
  for (const service of Object.keys(document.services)) {
    targets.push(...regionTargets(document, service, failed), ...zoneTargets(document, service));
  }
  return targets;
}
