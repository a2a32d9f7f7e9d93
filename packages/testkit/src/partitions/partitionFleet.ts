import { lookupPath } from '@buckthornlug/protocol/calls/callHeaders.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';
import type { Dispatcher } from 'undici';
import { request } from 'undici';

import { ControlFleet } from '../control/controlFleet.js';
import { startRelays, stopRelays, throughRelays, type HostRelays } from '../fakes/hostRelays.js';
import { deploymentKeys, deploymentSettings } from '../deployment/deployment.js';
import { loopbackNetwork } from '../fakes/loopback.js';
import { startFakeBackend, type FakeBackend } from '../fakes/fakeBackend.js';
import { testHostName, testIdentityHeader, testService } from '../fakes/testDocument.js';

const backendPort = 7100;
const firstBackendNumber = 200;
const requestTimeoutMs = 8000;
const members = ['lagos-a-1', 'lagos-b-1', 'abuja-a-1'];
const shortElections = { electionTimeoutMs: 500, heartbeatMs: 80 };

/** What a caller got. */
export interface CallerReply {
  readonly status: number;
  readonly code: string | undefined;
  readonly execution: string | undefined;
}

/** Who leads a group, as far as a host knows. */
export interface GroupLead {
  readonly groupId: string;
  readonly leaderId?: string | undefined;
  readonly term?: number | undefined;
}

/** Host processes in three zones, joined by relays, with a backend server in some zones. */
export class PartitionFleet {
  private constructor(
    readonly fleet: ControlFleet,
    private readonly relays: HostRelays,
    private readonly network: string,
    private readonly backends: FakeBackend[],
  ) {}

  /**
   * Starts the hosts.
   *
   * @param workFolder - folder for settings and data
   * @param offset - distinguishes several fleets of one process
   * @param timing - timing of the groups
   */
  static async start(
    workFolder: string,
    offset: number,
    timing: Partial<Settings['timing']> = shortElections,
  ): Promise<PartitionFleet> {
    const network = loopbackNetwork(process.pid, offset);
    const settings = deploymentSettings({
      regions: { lagos: ['lagos-a', 'lagos-b'], abuja: ['abuja-a'] },
      hostsPerZone: 1,
      groups: { control: members, 'ledger-1': members },
      dataRoot: `${workFolder}/data`,
      network,
      timing,
    });
    const relays = await startRelays(settings, network);
    const fleet = new ControlFleet(throughRelays(settings, network), workFolder);
    await fleet.start();
    return new PartitionFleet(fleet, relays, network, []);
  }

  /** Starts a backend server in the zone of a host. */
  async addBackend(hostId: string): Promise<FakeBackend> {
    const { availabilityZone, listen } = this.fleet.settingsOf(hostId);
    const backend = await startFakeBackend({
      backendId: `backend-${this.backends.length + 1}`,
      service: testService,
      availabilityZone,
      endpoint: {
        address: `${this.network}.${firstBackendNumber + this.backends.length}`,
        port: backendPort,
      },
      hosts: [listen.callers],
      announceKey: deploymentKeys.announce,
      meanMs: 5,
      slots: 3,
      seed: 1,
    });
    this.backends.push(backend);
    return backend;
  }

  /** Silences every link of a host, both ways. */
  isolate(hostId: string): void {
    for (const [pair, relay] of this.relays) {
      if (pair.split('>').includes(hostId)) relay.stall('forth', 'back');
    }
  }

  heal(): void {
    for (const relay of this.relays.values()) relay.heal();
  }

  /** Sends a call to a host. */
  async call(
    hostId: string,
    method: Dispatcher.HttpMethod,
    path: string,
    identity?: string,
  ): Promise<CallerReply> {
    const { address, port } = this.fleet.settingsOf(hostId).listen.callers;
    const reply = await request(`http://${address}:${port}${path}`, {
      method,
      headers: {
        host: testHostName,
        ...(identity === undefined ? {} : { [testIdentityHeader]: identity }),
      },
      signal: AbortSignal.timeout(requestTimeoutMs),
    });
    await reply.body.text();
    const field = (name: string) => {
      const value = reply.headers[name];
      return typeof value === 'string' ? value : undefined;
    };
    return {
      status: reply.statusCode,
      code: field('x-buckthornlug-code'),
      execution: field('x-buckthornlug-execution'),
    };
  }

  /** Looks the service up at a host. */
  lookUp(hostId: string): Promise<CallerReply> {
    return this.call(hostId, 'GET', `${lookupPath}?service=${testService}`);
  }

  /** State of a host as another one sees it. */
  async stateSeen(by: string, of: string): Promise<string> {
    const { body } = await this.fleet.ask(by, '/v1/hosts');
    const { hosts = [] } = (body ?? {}) as { hosts?: { hostId: string; state: string }[] };
    return hosts.find((host) => host.hostId === of)?.state ?? 'unknown';
  }

  /** Leader and term of each group as a host sees them. */
  async leadersSeen(by: string): Promise<readonly GroupLead[]> {
    const { body } = await this.fleet.ask(by, '/v1/groups');
    const { groups = [] } = (body ?? {}) as { groups?: GroupLead[] };
    return groups.map(({ groupId, leaderId, term }) => ({ groupId, leaderId, term }));
  }

  /** Version of the document in force on a host. */
  async versionOn(hostId: string): Promise<number> {
    const { body } = await this.fleet.ask(hostId, '/v1/status');
    return ((body ?? {}) as { documentVersion?: number }).documentVersion ?? 0;
  }

  async stop(): Promise<void> {
    await Promise.all(this.backends.map((backend) => backend.kill()));
    await this.fleet.kill();
    await stopRelays(this.relays);
  }
}
