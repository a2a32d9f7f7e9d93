import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';
import { text } from 'node:stream/consumers';
import { setTimeout as delay } from 'node:timers/promises';

import { GroupFormAnewCommand } from '@buckthornlug/cli/commands/groupFormAnewCommand.js';
import { signFormAnewRequest } from '@buckthornlug/core/submissions/formAnewSignature.js';
import type { GroupDescription } from '@buckthornlug/host/consensus/consensusSchema.js';
import { features } from '@buckthornlug/host/features.js';
import { originOf } from '@buckthornlug/host/rpc/peerClients.js';
import { startHost, type RunningHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import type { FormAnewRequest } from '@buckthornlug/protocol/admin/formAnewSchema.js';
import type { ExecutionContext } from 'ava';
import { Cli } from 'clipanion';

import { createFleetSettings, testClusterKey, type FleetHost } from '../fakes/hostSettings.js';
import { valueOf } from '../fakes/results.js';
import { createTestDocument } from '../fakes/testDocument.js';
import { until } from '../calls/callFleet.js';
import { firstSubmission } from './controlFleet.js';

/** A control group and a ledger group whose members lose their disks. */

/** Members of every group; host `d` is no member. */
export const members = ['a', 'b', 'c'];
export const fleet: FleetHost[] = [...members, 'd'].map((hostId) => ({
  hostId,
  region: 'lagos',
  availabilityZone: `lagos-${hostId}`,
  roles: hostId === 'd' ? ['entry'] : ['entry', 'control'],
}));
export const groups = ['control', 'ledger-a'].map((id) => ({ id, members }));
const timing = {
  electionTimeoutMs: 300,
  heartbeatMs: 50,
  rpcTimeoutMs: 300,
  documentPollMs: 50,
  stopGraceMs: 200,
};
const wanted = new Set(['consensus', 'submissions', 'documents', 'ledger', 'admin']);
const timeLimitMs = 3000;
export const coldStartBoundMs = 10_000;
const retryMs = 50;
const key = { service: 'yard', kind: 'orders', identity: 'order-1', requestDigest: 'digest' };
const answer = { status: 200, headers: [], bodyBase64: 'b25l' };

/** Who signs a request. */
export interface Signer {
  readonly team: string;
  readonly keyId: string;
  readonly secret: string;
}

export const clusterSigner: Signer = {
  team: 'cluster',
  keyId: testClusterKey.id,
  secret: testClusterKey.secret,
};

/** Signer of the team of the test document that owns every section. */
export const teamSigner: Signer = {
  team: 'platform',
  keyId: 'key-1',
  secret: 'team-secret-0123456789',
};

/** A signed request to form a group anew. */
export function signedRequest(groupId: string, lostId: string, signer: Signer): FormAnewRequest {
  const { team, keyId, secret } = signer;
  const body = { request: 'formAnew', team, keyId, groupId, lostId, acceptLoss: true } as const;
  return signFormAnewRequest(body, secret);
}

/** Hosts in this process whose disks can be lost. */
export class FormationFleet {
  private readonly running = new Map<string, RunningHost>();

  private constructor(private readonly dataFolder: string) {}

  static async start(t: ExecutionContext): Promise<FormationFleet> {
    const dataFolder = await mkdtemp(join(tmpdir(), 'bl-formation-'));
    const all = new FormationFleet(dataFolder);
    t.teardown(async () => {
      await all.stop();
      await rm(dataFolder, { recursive: true });
    });
    await all.startHosts();
    return all;
  }

  async startHosts(hostIds = [...members, 'd']): Promise<void> {
    const { dataFolder } = this;
    const chosen = features.filter(({ name }) => wanted.has(name));
    for (const one of createFleetSettings(fleet, { dataFolder, groups, timing })) {
      if (!hostIds.includes(one.hostId)) continue;
      this.running.set(one.hostId, valueOf(await startHost(one, { features: chosen })));
    }
  }

  async stop(hostIds = [...this.running.keys()]): Promise<void> {
    await Promise.all(hostIds.map((hostId) => this.host(hostId).stop()));
  }

  /** Stops the members one after another and empties a folder of each before they start again. */
  async loseDisks(folder: string): Promise<void> {
    for (const hostId of members) {
      await this.stop([hostId]);
      await rm(join(this.dataFolder, hostId, folder), { recursive: true });
    }
    await this.startHosts(members);
  }

  host(hostId: string): RunningHost {
    const found = this.running.get(hostId);
    if (found === undefined) throw new Error(`host "${hostId}" does not run`);
    return found;
  }

  begin() {
    const deadlineAtMs = performance.now() + timeLimitMs;
    return this.host('d').parts.ledger.begin(key, ['ledger-a'], deadlineAtMs);
  }

  /** Submits the test document and waits until host `d` has it. */
  async submitDocument(): Promise<void> {
    const submission = firstSubmission(createTestDocument());
    const { control, document } = this.host('d').parts;
    if (control === undefined) throw new Error('no control group is set up');
    const command = { type: 'submission', submission, authority: 'cluster' } as const;
    valueOf(await control.submit(command, coldStartBoundMs));
    await until(() => document.current()?.version === 1);
  }

  /** What a request to form a group anew names now; undefined where there is nothing to give up. */
  async lostId(hostId: string, groupId: string): Promise<string | undefined> {
    const { address, port } = this.host(hostId).context.settings.listen.admin;
    const reply = await fetch(`http://${address}:${port}/v1/groups/${groupId}/formation`);
    return ((await reply.json()) as { lostId?: string }).lostId;
  }

  /** Accepts the loss of a group by the identity of what is lost. */
  formAnew(
    hostId: string,
    groupId: string,
    lostId = 'none',
    signer: Signer = clusterSigner,
  ): Promise<Response> {
    const path = `/v1/groups/${groupId}/form-anew`;
    return this.post(hostId, path, signedRequest(groupId, lostId, signer));
  }

  /** Runs `buckthornlugctl group form-anew` at one host; gives its exit status and what it printed. */
  async runFormAnewCommand(
    hostId: string,
    groupId: string,
    signer: Signer,
  ): Promise<{ status: number; printed: string }> {
    const secretFile = join(this.dataFolder, 'secret.txt');
    await writeFile(secretFile, `${signer.secret}\n`);
    const { admin } = this.host(hostId).context.settings.listen;
    const output = new PassThrough();
    const status = await Cli.from(GroupFormAnewCommand).run(
      [
        ...['group', 'form-anew', groupId, '--accept-loss', '--admin', originOf(admin)],
        ...['--team', signer.team, '--key', signer.keyId, '--secret-file', secretFile],
      ],
      { stdout: output, stderr: output },
    );
    output.end();
    return { status, printed: await text(output) };
  }

  async post(hostId: string, path: string, body: unknown): Promise<Response> {
    const { address, port } = this.host(hostId).context.settings.listen.admin;
    return fetch(`http://${address}:${port}${path}`, {
      method: 'POST',
      body: JSON.stringify(body),
      headers: { 'content-type': 'application/json' },
    });
  }
}

/**
 * Reads again and again until a value is wanted or the time is up; gives the last one.
 *
 * @param read - reads the value
 * @param isWanted - tells whether to stop
 * @param limitMs - longest wait
 */
export async function readUntil<Value>(
  read: () => Promise<Value>,
  isWanted: (value: Value) => boolean,
  limitMs: number,
): Promise<Value> {
  const startedAtMs = performance.now();
  let value = await read();
  while (!isWanted(value) && performance.now() < startedAtMs + limitMs) {
    await delay(retryMs);
    value = await read();
  }
  return value;
}

/** Runs the work of the identity to its recorded end, once the fresh fleet has formed its groups. */
export async function runOrder(t: ExecutionContext, all: FormationFleet): Promise<void> {
  const startedAtMs = performance.now();
  const first = await readUntil(
    () => all.begin(),
    ({ decision }) => decision === 'run',
    coldStartBoundMs,
  );
  t.is(first.decision, 'run', `a group is formed: ${JSON.stringify(first)}`);
  t.log(`answered after ${Math.round(performance.now() - startedAtMs)} ms`);
  if (first.decision !== 'run') return;
  valueOf(await all.host('d').parts.ledger.finish(first.intentId, { outcome: 'answered', answer }));
}

/** Problem of a group as its first member tells it; undefined where it has none. */
async function problemNow(all: FormationFleet, groupId: string): Promise<string | undefined> {
  const { address, port } = all.host('a').context.settings.listen.admin;
  const reply = await fetch(`http://${address}:${port}/v1/groups`);
  const { groups: found } = (await reply.json()) as { groups: GroupDescription[] };
  return found.find((group) => group.groupId === groupId)?.failure?.code;
}

/** Problem of a group once its first member has heard of one from the control group. */
export function problemOf(all: FormationFleet, groupId: string): Promise<string | undefined> {
  const isKnown = (code: string | undefined) => code !== undefined;
  return readUntil(() => problemNow(all, groupId), isKnown, coldStartBoundMs);
}
