import { checkSettings } from '@buckthornlug/protocol/settings/settings.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import { loopbackAddress } from './loopback.js';
import { placeSettings } from './placedHosts.js';

/** Keys of the hosts and backend servers of a test. */
export const testClusterKey = { id: 'cluster-1', secret: 'cluster-secret-0123456789' };
export const testAnnounceKey = { id: 'announce-1', secret: 'announce-secret-0123456789' };

/** One host of a fleet. */
export interface FleetHost {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly roles?: Settings['roles'];
  /** Address; the next free one of this process where absent. */
  readonly address?: string;
}

/** Fields that a test sets for all hosts of a fleet. */
export type FleetOverrides = Partial<
  Pick<Settings, 'groups' | 'logLevel' | 'peerAddresses' | 'dataFolder'>
> & {
  readonly limits?: Partial<Settings['limits']>;
  readonly timing?: Partial<Settings['timing']>;
};

/**
 * Builds the settings of a fleet whose hosts know each other as peers.
 *
 * @param hosts - hosts; the one at index i gets loopback address i + 1
 * @param overrides - fields for all hosts; the data folder gets the host identity appended
 */
export function createFleetSettings(
  hosts: readonly FleetHost[],
  overrides: FleetOverrides = {},
): Settings[] {
  const addressed = hosts.map((host, index) => ({
    ...host,
    address: host.address ?? loopbackAddress(index + 1),
  }));
  const { dataFolder, ...shared } = overrides;
  return addressed.map((host) => {
    const settings = {
      ...placeSettings(host, addressed),
      roles: host.roles ?? ['entry'],
      clusterKeys: [testClusterKey],
      announceKeys: [testAnnounceKey],
      logLevel: 'warn',
      ...(dataFolder === undefined ? {} : { dataFolder: `${dataFolder}/${host.hostId}` }),
      ...shared,
    };
    const checked = checkSettings(settings);
    if (checked.isErr()) throw new Error(JSON.stringify(checked.error));
    return checked.value;
  });
}
