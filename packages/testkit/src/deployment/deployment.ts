import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';
import { settingsSchema } from '@buckthornlug/protocol/settings/settingsSchema.js';

import { placeSettings, type PlacedHost } from '../fakes/placedHosts.js';

/** Hosts of one deployment on loopback addresses, described by zone. */
export interface DeploymentPlan {
  /** Availability zones of each region. */
  readonly regions: Readonly<Record<string, readonly string[]>>;
  readonly hostsPerZone: number;
  /** Replicated groups and their members; members get a data folder and the role control. */
  readonly groups: Readonly<Record<string, readonly string[]>>;
  /** Folder below which each control host has its data folder. */
  readonly dataRoot: string;
  /** First three numbers of the loopback network, such as `127.20.1`. */
  readonly network: string;
  readonly timing?: Partial<Settings['timing']>;
  readonly limits?: Partial<Settings['limits']>;
  readonly logLevel?: Settings['logLevel'];
}

/** Keys of a deployment; made for tests and demos only. */
export const deploymentKeys = {
  cluster: { id: 'cluster-1', secret: 'only-for-tests-cluster-secret' },
  announce: { id: 'announce-1', secret: 'only-for-tests-announce-secret' },
} as const;

const firstHostNumber = 10;

function planHosts(plan: DeploymentPlan): PlacedHost[] {
  const hosts: PlacedHost[] = [];
  for (const [region, zones] of Object.entries(plan.regions)) {
    for (const availabilityZone of zones) {
      for (let number = 1; number <= plan.hostsPerZone; number += 1) {
        const address = `${plan.network}.${firstHostNumber + hosts.length}`;
        hosts.push({ hostId: `${availabilityZone}-${number}`, region, availabilityZone, address });
      }
    }
  }
  return hosts;
}

function settingsOf(
  plan: DeploymentPlan,
  host: PlacedHost,
  hosts: readonly PlacedHost[],
): Settings {
  const isMember = Object.values(plan.groups).some((members) => members.includes(host.hostId));
  return settingsSchema.parse({
    ...placeSettings(host, hosts),
    roles: isMember ? ['entry', 'control'] : ['entry'],
    ...(isMember ? { dataFolder: `${plan.dataRoot}/${host.hostId}` } : {}),
    groups: Object.entries(plan.groups).map(([id, members]) => ({ id, members })),
    clusterKeys: [deploymentKeys.cluster],
    announceKeys: [deploymentKeys.announce],
    timing: plan.timing ?? {},
    limits: plan.limits ?? {},
    logLevel: plan.logLevel ?? 'info',
  });
}

/**
 * Makes the settings of every host of a deployment.
 *
 * @param plan - regions, zones, groups and addresses
 */
export function deploymentSettings(plan: DeploymentPlan): Settings[] {
  const hosts = planHosts(plan);
  return hosts.map((host) => settingsOf(plan, host, hosts));
}
