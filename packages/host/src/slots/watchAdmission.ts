import type { Placement } from '@buckthornlug/protocol/steering/placementTypes.js';

import type { HostContext } from '../runtime/hostTypes.js';

/** Time without refusals after which admission counts as open again. */
const openAfterMs = 1000;
/** Codes that say that a pool takes no more calls. */
const closedCodes: ReadonlySet<string> = new Set(['BL3002', 'BL3003', 'BL3012', 'BL8001']);

/** Records when a service begins and ceases to refuse calls. */
export interface AdmissionWatch {
  readonly note: (service: string, placement: Placement) => void;
  readonly sweep: () => void;
}

/**
 * Creates the watch.
 *
 * @param context - clock and time line of the host
 */
export function watchAdmission(context: HostContext): AdmissionWatch {
  const refusedAtMs = new Map<string, number>();
  return {
    note: (service, placement) => {
      if (placement.place !== 'refused' || !closedCodes.has(placement.failure.code)) return;
      const isFirst = !refusedAtMs.has(service);
      refusedAtMs.set(service, context.clock.nowMs());
      if (!isFirst) return;
      const { code } = placement.failure;
      context.record({ kind: 'admissionClosed', service, code });
      context.log.warn('admissionClosed', { service, code });
    },
    sweep: () => {
      for (const [service, atMs] of refusedAtMs) {
        if (context.clock.nowMs() - atMs < openAfterMs) continue;
        refusedAtMs.delete(service);
        context.record({ kind: 'admissionOpened', service });
        context.log.info('admissionOpened', { service });
      }
    },
  };
}
