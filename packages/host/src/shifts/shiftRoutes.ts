import type { ShiftTable } from '@buckthornlug/core/shifts/shiftTable.js';
import { computeShiftTargets, type ShiftTarget } from '@buckthornlug/core/shifts/shiftTargets.js';
import type { ShiftStatus } from '@buckthornlug/protocol/admin/adminSchema.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import type { Hono } from 'hono';

import type { DocumentView, MembershipView } from '../runtime/hostTypes.js';
import { findFailedRegions } from './failedRegions.js';

/** Dependencies of the shift routes. */
export interface ShiftRoutesParts {
  readonly document: Pick<DocumentView, 'current'>;
  readonly table: ShiftTable;
  readonly membership: () => Pick<MembershipView, 'hosts'>;
  readonly isHeld: () => boolean;
}

/** Region of a unit, and its availability zone if the unit is a zone. */
function locateUnit({ network }: SteeringDocument, { scope, place }: ShiftTarget) {
  if (scope === 'region') return { region: place };
  const regionOfZone = network.regions.find((each) => each.availabilityZones.includes(place));
  return { region: regionOfZone?.id ?? place, availabilityZone: place };
}

/** Lists the units whose traffic has been shifted or is to be shifted. */
function listShifts(parts: ShiftRoutesParts): ShiftStatus[] {
  const inForce = parts.document.current();
  if (inForce === undefined) return [];
  const { table } = parts;
  const held = parts.isHeld();
  const shifts: ShiftStatus[] = [];
  const failed = findFailedRegions(inForce.document, parts.membership().hosts());
  for (const target of computeShiftTargets(inForce.document, failed)) {
    const step = table.find(target);
    if (step === undefined && target.movedPermille === 0) continue;
    shifts.push({
      service: target.service,
      ...locateUnit(inForce.document, target),
      movedPermille: step?.movedPermille ?? 0,
      targetPermille: target.movedPermille,
      step: step?.number ?? 0,
      held,
    });
  }
  return shifts;
}

/**
 * Registers `GET /v1/shifts`.
 *
 * @param app - administration API
 */
export function registerShiftRoutes(app: Hono, parts: ShiftRoutesParts): void {
  app.get('/v1/shifts', (context) => context.json({ shifts: listShifts(parts) }));
}
