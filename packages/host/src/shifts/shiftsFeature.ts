import { okAsync } from 'neverthrow';

import type { Feature, HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { ShiftAdmission } from './shiftAdmission.js';
import { ShiftHold } from './shiftHold.js';
import { ShiftLeader } from './shiftLeader.js';
import { registerShiftRoutes } from './shiftRoutes.js';

/** Interval of updates to limiters and of checks for contact with the control group. */
const observeIntervalMs = 50;
/** Interval at which the leader plans steps. */
const planIntervalMs = 200;

function createLeader(context: HostContext, parts: HostParts): ShiftLeader | undefined {
  const { control } = parts;
  if (control === undefined || !control.isMember) return undefined;
  return new ShiftLeader({ context, control, membership: () => parts.membership });
}

/** Shifts: the leader of the control group plans the steps, and every host enforces them. */
export const shiftsFeature: Feature = {
  name: 'shifts',
  isEnabled: () => true,
  start: (context, parts) => {
    const { log } = context;
    const { table } = parts.shiftSteps;
    const hold = new ShiftHold({
      context,
      revision: () => table.revision,
      controlSilentMs: () => parts.controlSilentMs(),
    });
    const leader = createLeader(context, parts);
    const admission = new ShiftAdmission({
      context,
      document: parts.document,
      poolOwner: (zone, service) => parts.poolOwner(zone, service),
      ownersVersion: () => parts.poolOwnersVersion(),
    });
    parts.provide({
      shifts: {
        admitShifted: admission.admitShifted,
        dispatchShifted: admission.dispatchShifted,
        movedPermille: (service, scope, place) => table.movedPermille({ service, scope, place }),
      },
    });
    parts.adminRoutes.push((app) =>
      registerShiftRoutes(app, {
        document: parts.document,
        table,
        membership: () => parts.membership,
        isHeld: () => hold.isHeld,
      }),
    );
    const logTickFailure = (error: unknown) =>
      log.error('shiftTickFailed', { problem: String(error) });
    const timers = [
      setInterval(() => {
        admission.observe();
        hold.observe();
      }, observeIntervalMs),
      setInterval(() => leader?.tick().catch(logTickFailure), planIntervalMs),
    ];
    return okAsync({
      name: 'shifts',
      stopSteps: {
        closeTasks: async () => {
          for (const timer of timers) clearInterval(timer);
        },
      },
      status: () => ({ revision: table.revision, held: hold.isHeld }),
    });
  },
};
