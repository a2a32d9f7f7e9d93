import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import type { ShiftUnit } from '@buckthornlug/protocol/shifts/shiftSchema.js';

/** Share of the traffic of a unit that is to run elsewhere in the end. */
export interface ShiftTarget extends ShiftUnit {
  readonly movedPermille: number;
}

const fullSharePermille = 1000;

type Region = SteeringDocument['network']['regions'][number];

function isDrainedOrFailed(
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

function computeRegionTargets(
  document: SteeringDocument,
  service: string,
  failed: ReadonlySet<string>,
): ShiftTarget[] {
  const { regions } = document.network;
  const weights = document.traffic[service]?.weights ?? {};
  const receiverCount = regions.filter(
    (region) => !isDrainedOrFailed(document, service, region, failed),
  ).length;
  const targets: ShiftTarget[] = [];
  for (const region of regions) {
    const movesAll = isDrainedOrFailed(document, service, region, failed);
    const otherReceiverCount = movesAll ? receiverCount : receiverCount - 1;
    const keptPermille = movesAll ? 0 : (weights[region.id] ?? fullSharePermille);
    const movedPermille = otherReceiverCount > 0 ? fullSharePermille - keptPermille : 0;
    targets.push({ service, scope: 'region', place: region.id, movedPermille });
  }
  return targets;
}

function computeZoneTargets(document: SteeringDocument, service: string): ShiftTarget[] {
  const drained = new Set(document.traffic[service]?.drainedZones ?? []);
  const targets: ShiftTarget[] = [];
  for (const region of document.network.regions) {
    const undrainedCount = region.availabilityZones.filter((zone) => !drained.has(zone)).length;
    for (const zone of region.availabilityZones) {
      const movedPermille = drained.has(zone) && undrainedCount > 0 ? fullSharePermille : 0;
      targets.push({ service, scope: 'zone', place: zone, movedPermille });
    }
  }
  return targets;
}

/**
 * Computes the targets of all units from the document and the failed regions. Traffic is moved only
 * if another region or zone is left to take it.
 *
 * @param document - document in force
 * @param failed - regions without a living host
 */
export function computeShiftTargets(
  document: SteeringDocument,
  failed: ReadonlySet<string>,
): ShiftTarget[] {
  const targets: ShiftTarget[] = [];
  for (const service of Object.keys(document.services)) {
    targets.push(
      ...computeRegionTargets(document, service, failed),
      ...computeZoneTargets(document, service),
    );
  }
  return targets;
}
