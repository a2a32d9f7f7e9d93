import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import { startFakeBackend, type FakeBackend } from '../fakes/fakeBackend.js';
import { startRelays, stopRelays, throughRelays, type HostRelays } from '../fakes/hostRelays.js';
import { createFleetSettings, testAnnounceKey } from '../fakes/hostSettings.js';
import { loopbackAddress, loopbackNetwork } from '../fakes/loopback.js';
import { createTestDocument, testService } from '../fakes/testDocument.js';
import { OnceDocumentChanges } from './onceDocumentChanges.js';
import { OnceDevices } from './onceDevice.js';
import { OnceHostProcess } from './onceHostProcess.js';

const zones = ['lagos-a', 'lagos-b', 'abuja-a'];
const ledgerGroups = ['ledger-a', 'ledger-b'];
const deviceTimeoutMs = 3500;
const warmUpTries = 40;
const warmUpPauseMs = 200;
const backendPort = 7100;
const firstBackendNumber = 100;
const timing = { electionTimeoutMs: 300, heartbeatMs: 50, rpcTimeoutMs: 500 };

/** Time limit of an order in the document of the rounds. */
export const orderTimeLimitMs = 2500;

function planHosts(dataFolder: string) {
  const members = zones.map((_zone, index) => `host-${index}`);
  const groups = ['control', ...ledgerGroups].map((id) => ({ id, members }));
  return createFleetSettings(
    zones.map((availabilityZone, index) => ({
      hostId: `host-${index}`,
      region: availabilityZone.startsWith('lagos') ? 'lagos' : 'abuja',
      availabilityZone,
      roles: ['entry', 'control'],
    })),
    { dataFolder, groups, timing },
  );
}

/** Three hosts as processes behind relays, a backend server in the zone of each, and devices. */
export class OnceProcessFleet {
  readonly devices = new OnceDevices(deviceTimeoutMs);

  private readonly backends: FakeBackend[] = [];

  private constructor(
    readonly hosts: readonly OnceHostProcess[],
    readonly relays: HostRelays,
    readonly changes: OnceDocumentChanges,
  ) {}

  /**
   * Starts everything and resolves when each host has taken an order to its end.
   *
   * @param folder - folder for settings and data
   */
  static async start(folder: string): Promise<OnceProcessFleet> {
    const settings = planHosts(join(folder, 'data'));
    const network = loopbackNetwork(process.pid);
    const relays = await startRelays(settings, network);
    const relayed = throughRelays(settings, network);
    const hosts = relayed.map(
      (one) => new OnceHostProcess(one, join(folder, `${one.hostId}.json`)),
    );
    const document = createTestDocument({ timeLimitMs: orderTimeLimitMs, ledgerGroups });
    const fleet = new OnceProcessFleet(hosts, relays, new OnceDocumentChanges(document, relayed));
    try {
      await fleet.startAll();
    } catch (error) {
      await fleet.stop();
      throw error;
    }
    return fleet;
  }

  private async startAll(): Promise<void> {
    await Promise.all(this.hosts.map((host) => host.start()));
    await this.changes.submitFirst();
    for (const [index, host] of this.hosts.entries()) await this.startBackend(index, host);
    await Promise.all(this.backends.map((backend) => backend.whenAnnounced()));
    await Promise.all(this.hosts.map((host) => this.warmUp(host)));
  }

  private async startBackend(index: number, { settings }: OnceHostProcess): Promise<void> {
    const backend = await startFakeBackend({
      backendId: `backend-${index}`,
      service: testService,
      availabilityZone: settings.availabilityZone,
      endpoint: { address: loopbackAddress(firstBackendNumber + index), port: backendPort },
      hosts: [settings.listen.callers],
      announceKey: testAnnounceKey,
      slots: 6,
      renewMs: 150,
      seed: index,
    });
    this.backends.push(backend);
  }

  /** Resolves when a host has taken an order to its end. */
  private async warmUp({ settings }: OnceHostProcess): Promise<void> {
    const identity = `warm-up of ${settings.hostId}`;
    for (let tries = 0; tries < warmUpTries; tries += 1) {
      const reply = await this.devices.send(settings.listen.callers, identity);
      if (reply.result === 'answered') return;
      await delay(warmUpPauseMs);
    }
    throw new Error(`host "${settings.hostId}" answers no order`);
  }

  /** Ends the faults of all hosts. */
  async healAll(): Promise<void> {
    for (const host of this.hosts) host.resume();
    await Promise.all(this.hosts.map((host) => host.start()));
  }

  /** How often the backend servers ran the work of an identity. */
  executionsOf(identity: string): number {
    return this.backends.reduce(
      (sum, backend) => sum + (backend.executions().get(identity) ?? 0),
      0,
    );
  }

  async stop(): Promise<void> {
    await Promise.all(this.hosts.map((host) => host.kill()));
    await Promise.all(this.backends.map((backend) => backend.kill()));
    await this.devices.close();
    await stopRelays(this.relays);
  }
}
