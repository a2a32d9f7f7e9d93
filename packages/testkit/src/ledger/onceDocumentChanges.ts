import { setTimeout as delay } from 'node:timers/promises';

import { createAdminClient } from '@buckthornlug/cli/api/adminClient.js';
import { fetchDocument } from '@buckthornlug/cli/api/fetchDocument.js';
import { sendSubmission } from '@buckthornlug/cli/api/sendSubmission.js';
import { originOf } from '@buckthornlug/host/rpc/peerClients.js';
import { signSubmission } from '@buckthornlug/core/submissions/submissionSignature.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import { splitSections } from '@buckthornlug/protocol/document/sections.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import { testClusterKey } from '../fakes/hostSettings.js';

/** What a submission of the rounds changes, and who signs it. */
interface Change {
  readonly submissionId: string;
  readonly signer: { readonly team: string; readonly id: string; readonly secret: string };
  readonly sections: Record<string, unknown>;
}

/** Code of a submission whose hosts were all killed, one after another, while it waited. */
const unreachedCode = 'BL6003';
const maxTries = 100;
const retryDelayMs = 300;

const groupName = (number: number) => `clientBlocks/round-${number}`;
const blockOf = (number: number) => `10.${Math.floor(number / 256)}.${number % 256}.0/24`;

/** The document of the rounds: each change adds a group of client blocks of its own. */
export class OnceDocumentChanges {
  private readonly acceptedNumbers: number[] = [];

  private sent = 0;

  constructor(
    private readonly document: SteeringDocument,
    private readonly hosts: readonly Settings[],
  ) {}

  /** Changes that were accepted. */
  get accepted(): number {
    return this.acceptedNumbers.length;
  }

  /** Changes that were sent and not accepted. */
  get notAccepted(): number {
    return this.sent - this.accepted;
  }

  /** Submits the whole document; throws where it is refused. */
  async submitFirst(): Promise<void> {
    const sections = Object.fromEntries(splitSections(this.document));
    const signer = { team: 'cluster', ...testClusterKey };
    const problem = await this.submit({ submissionId: 'first-document', signer, sections }, 0);
    if (problem !== undefined) throw new Error(`the first document was not accepted: ${problem}`);
  }

  /**
   * Adds a group of client blocks.
   *
   * @param number - number of the change; no two changes share client blocks
   * @param firstHost - index of the host that is asked first
   */
  async change(number: number, firstHost: number): Promise<void> {
    this.sent += 1;
    const [team] = this.document.teams;
    const [key] = team?.keys ?? [];
    if (team === undefined || key?.secret === undefined) throw new Error('no team has a key');
    const [region] = this.document.network.regions;
    const availabilityZone = region?.availabilityZones[0];
    const problem = await this.submit(
      {
        submissionId: `change-of-round-${number}`,
        signer: { team: team.id, id: key.id, secret: key.secret },
        sections: { [groupName(number)]: [{ block: blockOf(number), availabilityZone }] },
      },
      firstHost,
    );
    if (problem === undefined) this.acceptedNumbers.push(number);
  }

  /** Accepted changes that the document does not hold at the end. */
  async countLost(): Promise<number> {
    const read = await fetchDocument(createAdminClient(this.addressesFrom(0)));
    if (read.isErr()) throw new Error(JSON.stringify(read.error));
    const held = splitSections(read.value);
    return this.acceptedNumbers.filter((number) => !held.has(groupName(number))).length;
  }

  /** Sends a submission until its outcome is known; returns the code of a refusal. */
  private async submit(change: Change, firstHost: number): Promise<string | undefined> {
    const { submissionId, signer, sections } = change;
    const baseVersions = Object.fromEntries(Object.keys(sections).map((name) => [name, 0]));
    const body = { submissionId, team: signer.team, keyId: signer.id, baseVersions, sections };
    const submission = signSubmission(body, signer.secret);
    const client = createAdminClient(this.addressesFrom(firstHost));
    for (let tries = 1; ; tries += 1) {
      const sent = await sendSubmission(client, submission);
      if (sent.isOk()) return undefined;
      if (sent.error.code !== unreachedCode || tries === maxTries) return sent.error.code;
      await delay(retryDelayMs);
    }
  }

  private addressesFrom(firstHost: number): string[] {
    const ordered = [...this.hosts.slice(firstHost), ...this.hosts.slice(0, firstHost)];
    return ordered.map(({ listen }) => originOf(listen.admin));
  }
}
