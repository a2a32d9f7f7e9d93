import type { Placement } from '@buckthornlug/protocol/steering/placementTypes.js';

import type { HostContext } from '../runtime/hostTypes.js';

/** Time without refusals after which admission counts as open again. */
const openAfterMs = 1000;
/** Result codes of refusals that close admission. */
const closedCodes: ReadonlySet<string> = new Set(['BL3002', 'BL3003', 'BL3012', 'BL8001']);

/** Records when a service starts and stops refusing calls. */
export interface AdmissionWatch {
  readonly recordPlacement: (service: string, placement: Placement) => void;
  readonly detectReopened: () => void;
}

export function createAdmissionWatch(context: HostContext): AdmissionWatch {
  const lastRefusalAtMs = new Map<string, number>();
  return {
    recordPlacement: (service, placement) => {
      if (placement.place !== 'refused' || !closedCodes.has(placement.failure.code)) return;
      const wasOpen = !lastRefusalAtMs.has(service);
      lastRefusalAtMs.set(service, context.clock.nowMs());
      if (!wasOpen) return;
      const { code } = placement.failure;
      context.record({ kind: 'admissionClosed', service, code });
      context.log.warn('admissionClosed', { service, code });
    },
    detectReopened: () => {
      for (const [service, atMs] of lastRefusalAtMs) {
        if (context.clock.nowMs() - atMs < openAfterMs) continue;
        lastRefusalAtMs.delete(service);
        context.record({ kind: 'admissionOpened', service });
        context.log.info('admissionOpened', { service });
      }
    },
  };
}
