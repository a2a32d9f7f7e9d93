import { fileURLToPath } from 'node:url';

import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import { startBackendProcess } from '../bench/benchHost.js';
import { deploymentKeys, deploymentSettings } from '../deployment/deployment.js';
import { loopbackNetwork } from '../fakes/loopback.js';
import { startHostProcess, type HostProcess } from '../processes/hostProcess.js';

/** Document that the demo submits; `npm run demo` prints its path. */
export const demoDocumentPath = fileURLToPath(
  new URL('../../../../examples/demo.json', import.meta.url),
);

export const demoService = 'parts-desk';
export const demoHostName = 'parts-desk.example';

const network = loopbackNetwork(process.pid);
const zones = { lagos: ['lagos-a', 'lagos-b'], abuja: ['abuja-a'] };
const controlHosts = ['lagos-a-1', 'lagos-b-1', 'abuja-a-1'];
const backendsPerZone = 2;
const firstBackendNumber = 100;
const backendPort = 7100;
const backendSlots = 3;

/** A backend server process of the demo. */
export interface DemoBackend {
  readonly backendId: string;
  /** Origin of its own pages, such as its counts. */
  readonly origin: string;
  readonly leave: () => Promise<void>;
  readonly kill: () => Promise<void>;
}

/** Processes of the demo. */
export interface DemoFleet {
  readonly settings: readonly Settings[];
  readonly hosts: readonly HostProcess[];
  readonly backends: DemoBackend[];
  readonly stop: () => Promise<void>;
}

/**
 * Starts two hosts in each of three zones, one of each zone with the role control.
 *
 * @param workFolder - folder for settings and data
 */
export async function startDemoHosts(workFolder: string): Promise<DemoFleet> {
  const settings = deploymentSettings({
    regions: zones,
    hostsPerZone: 2,
    groups: { control: controlHosts, 'ledger-lagos': controlHosts },
    dataRoot: `${workFolder}/data`,
    network,
  });
  const hosts = await Promise.all(
    settings.map((entry) => startHostProcess(entry, { workFolder: `${workFolder}/settings` })),
  );
  const backends: DemoBackend[] = [];
  return {
    settings,
    hosts,
    backends,
    stop: async () => {
      await Promise.all(backends.map((backend) => backend.kill()));
      await Promise.all(hosts.map((host) => host.stop()));
    },
  };
}

/**
 * Starts the backend servers of the demo, which announce themselves.
 *
 * @param fleet - running hosts
 */
export async function startDemoBackends(fleet: DemoFleet): Promise<void> {
  const allZones = Object.values(zones).flat();
  for (const [zoneIndex, availabilityZone] of allZones.entries()) {
    const zoneHosts = fleet.settings.filter((host) => host.availabilityZone === availabilityZone);
    for (let number = 1; number <= backendsPerZone; number += 1) {
      const lastNumber = firstBackendNumber + zoneIndex * backendsPerZone + number;
      const address = `${network}.${lastNumber}`;
      const backendId = `${availabilityZone}-parts-${number}`;
      const backend = await startBackendProcess({
        backendId,
        service: demoService,
        availabilityZone,
        endpoint: { address, port: backendPort },
        hosts: zoneHosts.map((host) => host.listen.callers),
        announceKey: deploymentKeys.announce,
        slots: backendSlots,
        seed: lastNumber,
        identityHeader: 'idempotency-key',
      });
      fleet.backends.push({ backendId, origin: `http://${address}:${backendPort}`, ...backend });
    }
  }
}
