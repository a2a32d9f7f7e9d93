import type { RegisteredBackend } from '@buckthornlug/protocol/registry/registrySchema.js';

import { TrackedBackend, type Distance } from './trackedBackend.js';

/** A registered backend server with four slots, for the tests of this folder. */
const record: RegisteredBackend = {
  backendId: 'b-1',
  bornAtMs: 0,
  service: 'desk',
  availabilityZone: 'north-a',
  endpoint: { address: '127.0.0.1', port: 1 },
  slots: 4,
  sequence: 1,
  state: 'ready',
  coldUntilMs: 0,
  revision: 1,
};

/**
 * A backend server without calls, seen over a link without delay.
 *
 * @param distance - distance from the host
 */
export function sampleBackend(distance: Distance = 'zone'): TrackedBackend {
  return new TrackedBackend(record, 'north', distance, 0, 0);
}
