import { rm } from 'node:fs/promises';

import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import { deploymentKeys, deploymentSettings } from '../deployment/deployment.js';
import { hostPorts } from '../fakes/placedHosts.js';
import { loopbackNetwork } from '../fakes/loopback.js';
import { startFakeBackend, type FakeBackend } from '../fakes/fakeBackend.js';
import { startRelay, type Relay } from '../fakes/relay.js';
import { startHostProcess, type HostProcess } from '../processes/hostProcess.js';
import { identityHeader } from './scenarioDocument.js';
import type { Scenario, StepOf } from './scenarioSchema.js';

const firstRelayPort = 7200;
const backendPort = 7100;
const firstBackendNumber = 100;

/** A backend server of a scenario and when it began to leave. */
export interface ScenarioBackend {
  readonly service: string;
  readonly zone: string;
  readonly backend: FakeBackend;
  /** Monotonic time at which it began to drain, leave or fall silent. */
  changedAtMs?: number;
  change?: 'draining' | 'leaving' | 'muted';
  gone: boolean;
}

/** Hosts, backend servers and links of a running scenario. */
export interface ScenarioFleet {
  readonly settings: ReadonlyMap<string, Settings>;
  /** Running hosts by identity. */
  readonly hosts: Map<string, HostProcess>;
  readonly backends: ScenarioBackend[];
  readonly start: (hostId: string) => Promise<void>;
  readonly emptyDisk: (hostId: string) => Promise<void>;
  readonly announce: (backends: StepOf<'announce'>['backends'], seed: number) => Promise<void>;
  readonly setLink: (from: string, to: string, isCut: boolean) => void;
  readonly stop: () => Promise<void>;
}

/** A link from one zone to one host of another zone. */
interface Link {
  readonly fromZone: string;
  readonly toZone: string;
  readonly hostId: string;
  readonly endpoint: Endpoint;
  readonly relay: Relay;
}

async function startLinks(settings: readonly Settings[]): Promise<Link[]> {
  const zones = [...new Set(settings.map((host) => host.availabilityZone))];
  const links: Link[] = [];
  for (const host of settings) {
    for (const [index, fromZone] of zones.entries()) {
      if (fromZone === host.availabilityZone) continue;
      const endpoint = { address: host.listen.internal.address, port: firstRelayPort + index };
      const relay = await startRelay(endpoint, host.listen.internal);
      const { hostId, availabilityZone: toZone } = host;
      links.push({ fromZone, toZone, hostId, endpoint, relay });
    }
  }
  return links;
}

function throughLinks(host: Settings, links: readonly Link[]): Settings {
  const peerAddresses: Settings['peerAddresses'] = {};
  for (const link of links) {
    if (link.fromZone === host.availabilityZone) peerAddresses[link.hostId] = link.endpoint;
  }
  return { ...host, peerAddresses };
}

/**
 * Prepares the fleet of a scenario: links between zones run, hosts and backend servers do not.
 *
 * @param scenario - checked scenario
 * @param workFolder - folder for settings and data
 */
export async function createScenarioFleet(
  scenario: Scenario,
  workFolder: string,
): Promise<ScenarioFleet> {
  const network = loopbackNetwork(process.pid);
  const planned = deploymentSettings({
    ...scenario.deployment,
    dataRoot: `${workFolder}/data`,
    network,
  });
  const links = await startLinks(planned);
  const settings = new Map(planned.map((host) => [host.hostId, throughLinks(host, links)]));
  const hosts = new Map<string, HostProcess>();
  const backends: ScenarioBackend[] = [];

  const start = async (hostId: string) => {
    const own = settings.get(hostId);
    if (own === undefined) throw new Error(`host "${hostId}" is not in the deployment`);
    hosts.set(hostId, await startHostProcess(own, { workFolder }));
  };

  const announceOne = async (wanted: StepOf<'announce'>['backends'], seed: number) => {
    const number = backends.length;
    const zoneHosts = planned.filter((host) => host.availabilityZone === wanted.zone);
    const backend = await startFakeBackend({
      backendId: `${wanted.service}-${wanted.zone}-${number}`,
      service: wanted.service,
      availabilityZone: wanted.zone,
      endpoint: { address: `${network}.${firstBackendNumber + number}`, port: backendPort },
      hosts: zoneHosts.map((host) => ({
        address: host.listen.callers.address,
        port: hostPorts.callers,
      })),
      announceKey: deploymentKeys.announce,
      slots: wanted.slots,
      meanMs: wanted.serviceTimeMs,
      seed: seed + number,
      identityHeader,
    });
    backends.push({ service: wanted.service, zone: wanted.zone, backend, gone: false });
    await backend.whenAnnounced();
  };

  return {
    settings,
    hosts,
    backends,
    start,
    emptyDisk: async (hostId) => {
      const folder = settings.get(hostId)?.dataFolder;
      if (folder !== undefined) await rm(folder, { recursive: true, force: true });
    },
    announce: async (wanted, seed) => {
      for (let count = 0; count < wanted.count; count += 1) await announceOne(wanted, seed);
    },
    setLink: (from, to, isCut) => {
      for (const link of links) {
        if (link.fromZone !== from || link.toZone !== to) continue;
        if (isCut) link.relay.cut();
        else link.relay.heal();
      }
    },
    stop: async () => {
      const left = backends.filter((entry) => !entry.gone);
      await Promise.all(left.map((entry) => entry.backend.kill()));
      for (const host of hosts.values()) host.resume();
      await Promise.all([...hosts.values()].map((host) => host.kill()));
      await Promise.all(links.map((link) => link.relay.stop()));
    },
  };
}
