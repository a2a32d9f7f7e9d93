import { readFile } from 'node:fs/promises';

import { signSubmission } from '@buckthornlug/core/submissions/submissionSignature.js';
import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import { splitSections } from '@buckthornlug/protocol/document/sections.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';
import type { Submission } from '@buckthornlug/protocol/submissions/submissionSchema.js';
import { request } from 'undici';

import { deploymentKeys, deploymentSettings } from '../deployment/deployment.js';
import { startHostProcess, type HostProcess } from '../processes/hostProcess.js';

/** A small fleet of host processes with a control group, and the operator's side of it. */

const examplePath = 'examples/trekpole.json';
const requestTimeoutMs = 20_000;

/** Answer of the administration API. */
export interface AdminAnswer {
  readonly status: number;
  readonly body: unknown;
}

/** Host processes by identity. */
export class ControlFleet {
  private readonly running = new Map<string, HostProcess>();

  constructor(
    private settings: readonly Settings[],
    private readonly workFolder: string,
  ) {}

  allSettings(): readonly Settings[] {
    return this.settings;
  }

  /** Members of the control group. */
  memberIds(): string[] {
    return this.settings.filter(({ roles }) => roles.includes('control')).map((one) => one.hostId);
  }

  hostIds(): string[] {
    return this.settings.map(({ hostId }) => hostId);
  }

  settingsOf(hostId: string): Settings {
    const found = this.settings.find((one) => one.hostId === hostId);
    if (found === undefined) throw new Error(`no host "${hostId}"`);
    return found;
  }

  process(hostId: string): HostProcess {
    const found = this.running.get(hostId);
    if (found === undefined) throw new Error(`host "${hostId}" does not run`);
    return found;
  }

  async start(hostIds: readonly string[] = this.hostIds()): Promise<void> {
    const { workFolder } = this;
    const started = await Promise.all(
      hostIds.map((hostId) => startHostProcess(this.settingsOf(hostId), { workFolder })),
    );
    for (const one of started) this.running.set(one.settings.hostId, one);
  }

  async kill(hostIds: readonly string[] = this.hostIds()): Promise<void> {
    await Promise.all(hostIds.map((hostId) => this.running.get(hostId)?.kill()));
    for (const hostId of hostIds) this.running.delete(hostId);
  }

  /** Kills a host and starts it with changed settings. */
  async restartWith(hostId: string, changed: Partial<Settings>): Promise<void> {
    await this.kill([hostId]);
    this.settings = this.settings.map((one) =>
      one.hostId === hostId ? { ...one, ...changed } : one,
    );
    await this.start([hostId]);
  }

  async stop(hostId: string): Promise<number | null> {
    const status = await this.process(hostId).stop();
    this.running.delete(hostId);
    return status;
  }

  /** Asks the administration API of one host; status 0 where it does not answer. */
  async ask(hostId: string, path: string, body?: unknown): Promise<AdminAnswer> {
    const { address, port } = this.settingsOf(hostId).listen.admin;
    try {
      const response = await request(`http://${address}:${port}${path}`, {
        method: body === undefined ? 'GET' : 'POST',
        signal: AbortSignal.timeout(requestTimeoutMs),
        ...(body === undefined
          ? {}
          : { body: JSON.stringify(body), headers: { 'content-type': 'application/json' } }),
      });
      return { status: response.statusCode, body: await response.body.json() };
    } catch {
      return { status: 0, body: undefined };
    }
  }

  /** Host that leads the control group, once one does. */
  async leader(): Promise<string> {
    const untilMs = performance.now() + requestTimeoutMs;
    while (performance.now() < untilMs) {
      for (const hostId of this.running.keys()) {
        const { body } = await this.ask(hostId, '/v1/groups');
        const [group] =
          (body as { groups?: { leaderId?: string; isLeader?: boolean }[] })?.groups ?? [];
        if (group?.isLeader && group.leaderId !== undefined) return group.leaderId;
      }
    }
    throw new Error('no leader was elected');
  }
}

/**
 * Plans a fleet: one host in each of three zones of two regions as members, and one more host.
 *
 * @param network - loopback network
 * @param workFolder - folder for settings and data
 * @param timing - timing that differs from the defaults
 * @param relayed - changes the settings, as for relays between the hosts
 */
export function createControlFleet(
  network: string,
  workFolder: string,
  timing: Partial<Settings['timing']> = {},
  relayed: (settings: readonly Settings[]) => readonly Settings[] = (settings) => settings,
): ControlFleet {
  const settings = deploymentSettings({
    regions: { lagos: ['lagos-a', 'lagos-b'], abuja: ['abuja-a', 'abuja-b'] },
    hostsPerZone: 1,
    groups: { control: ['lagos-a-1', 'lagos-b-1', 'abuja-a-1'] },
    dataRoot: `${workFolder}/data`,
    network,
    timing,
  });
  return new ControlFleet(relayed(settings), workFolder);
}

/** The example document, whose first team owns everything. */
export async function exampleDocument(): Promise<SteeringDocument> {
  const checked = checkDocument(JSON.parse(await readFile(examplePath, 'utf8')));
  if (checked.isErr()) throw new Error(JSON.stringify(checked.error));
  return checked.value;
}

/** First submission of all, signed with the cluster key. */
export function firstSubmission(document: SteeringDocument): Submission {
  const sections = Object.fromEntries(splitSections(document));
  const baseVersions = Object.fromEntries(Object.keys(sections).map((name) => [name, 0]));
  const { id: keyId, secret } = deploymentKeys.cluster;
  const body = { submissionId: 'first-submission', team: 'cluster', keyId, baseVersions, sections };
  return signSubmission(body, secret);
}

/** A change of one client block group, signed by a team that owns it. */
export function blocksSubmission(
  document: SteeringDocument,
  submissionId: string,
  baseVersion: number,
  group: string,
): Submission {
  const name = `clientBlocks/${group}`;
  const team = document.teams.find(({ sections }) =>
    sections.some((pattern) => pattern === '*' || pattern === 'clientBlocks/*'),
  );
  const [key] = team?.keys ?? [];
  if (team === undefined || key?.secret === undefined) {
    throw new Error('no team owns the client blocks');
  }
  const [region] = document.network.regions;
  const content = [{ block: '127.99.0.0/16', availabilityZone: region?.availabilityZones[0] }];
  const body = {
    submissionId,
    team: team.id,
    keyId: key.id,
    baseVersions: { [name]: baseVersion },
    sections: { [name]: content },
  };
  return signSubmission(body, key.secret);
}
