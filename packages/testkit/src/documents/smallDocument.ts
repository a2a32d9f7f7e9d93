import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';

import { valueOf } from '../fakes/results.js';

/**
 * A small valid document over the given zones.
 *
 * @param regions - availability zones by region
 */
export function smallDocument(
  regions: Readonly<Record<string, readonly string[]>>,
): SteeringDocument {
  return valueOf(
    checkDocument({
      format: 1,
      teams: [
        { id: 'core', sections: ['*'], keys: [{ id: 'k1', secret: 'team-secret-0123456789' }] },
      ],
      network: {
        regions: Object.entries(regions).map(([id, availabilityZones]) => ({
          id,
          availabilityZones,
        })),
        zoneDelayMs: 3,
        callerDelayMs: 1,
      },
      ranks: [{ id: 'urgent', targetMs: 250, floorPermille: 100 }],
      services: {
        yardboard: {
          hostNames: ['yardboard.example'],
          kinds: [
            {
              id: 'listing',
              match: {},
              rank: 'urgent',
              execution: 'idempotent',
              timeLimitMs: 4000,
            },
          ],
        },
      },
      traffic: {
        yardboard: {
          shiftCap: { stepPermille: 100, stepIntervalMs: 1000, maxShiftedCallsPerS: 50 },
        },
      },
    }),
  );
}
