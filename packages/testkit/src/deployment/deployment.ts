import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import type { Peer, Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';
import { settingsSchema } from '@buckthornlug/protocol/settings/settingsSchema.js';

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

/** Ports that every host of a deployment listens on. */
export const deploymentPorts = { callers: 7001, internal: 7002, admin: 7003 } as const;

/** Keys of a deployment; made for tests and demos only. */
export const deploymentKeys = {
  cluster: { id: 'cluster-1', secret: 'only-for-tests-cluster-secret' },
  announce: { id: 'announce-1', secret: 'only-for-tests-announce-secret' },
} as const;

const firstHostNumber = 10;

/**
 * Chooses a loopback network that no other running process uses.
 *
 * @param processId - identity of the process
 * @param offset - distinguishes several networks of one process
 */
export function loopbackNetwork(processId: number, offset = 0): string {
  const number = processId + offset * 7919;
  return `127.${16 + ((number >> 8) % 200)}.${number % 256}`;
}

/** Place of one host in a plan. */
interface PlannedHost {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly address: string;
}

function planHosts(plan: DeploymentPlan): PlannedHost[] {
  const hosts: PlannedHost[] = [];
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

function listenerOf(host: PlannedHost, listener: keyof typeof deploymentPorts): Endpoint {
  return { address: host.address, port: deploymentPorts[listener] };
}

function peerOf(host: PlannedHost): Peer {
  return {
    hostId: host.hostId,
    region: host.region,
    availabilityZone: host.availabilityZone,
    internal: listenerOf(host, 'internal'),
  };
}

function settingsOf(
  plan: DeploymentPlan,
  host: PlannedHost,
  hosts: readonly PlannedHost[],
): Settings {
  const isMember = Object.values(plan.groups).some((members) => members.includes(host.hostId));
  return settingsSchema.parse({
    hostId: host.hostId,
    region: host.region,
    availabilityZone: host.availabilityZone,
    roles: isMember ? ['entry', 'control'] : ['entry'],
    listen: {
      callers: listenerOf(host, 'callers'),
      internal: listenerOf(host, 'internal'),
      admin: listenerOf(host, 'admin'),
    },
    peers: hosts.filter((other) => other !== host).map(peerOf),
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
