import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import {
  FormationRegistry,
  type Formation,
} from '@buckthornlug/core/submissions/formationRegistry.js';
import {
  FormationGuard,
  type FormationGuardParts,
} from '@buckthornlug/host/consensus/formationGuard.js';
import { features } from '@buckthornlug/host/features.js';
import { startHost, type RunningHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import type { GroupDescription } from '@buckthornlug/host/consensus/consensusSchema.js';
import test, { type ExecutionContext } from 'ava';
import { okAsync } from 'neverthrow';

import { createFleetSettings, type FleetHost } from '../fakes/hostSettings.js';
import { valueOf } from '../fakes/results.js';
import { createTestDocument } from '../fakes/testDocument.js';
import { until } from '../calls/callFleet.js';
import { firstSubmission } from './controlFleet.js';

const members = ['a', 'b', 'c'];
const fleet: FleetHost[] = [...members, 'd'].map((hostId) => ({
  hostId,
  region: 'lagos',
  availabilityZone: `lagos-${hostId}`,
  roles: hostId === 'd' ? ['entry'] : ['entry', 'control'],
}));
const groups = ['control', 'ledger-a'].map((id) => ({ id, members }));
const timing = {
  electionTimeoutMs: 300,
  heartbeatMs: 50,
  rpcTimeoutMs: 300,
  documentPollMs: 50,
  stopGraceMs: 200,
};
const wanted = new Set(['consensus', 'submissions', 'documents', 'ledger', 'admin']);
const timeLimitMs = 3000;
const coldStartBoundMs = 10_000;
const retryMs = 50;
const withoutQuorumMs = 1000;
const key = { service: 'yard', kind: 'orders', identity: 'order-1', requestDigest: 'digest' };
const clock = { nowMs: () => performance.now(), wallMs: () => Date.now() };
const answer = { status: 200, headers: [], bodyBase64: 'b25l' };

class Fleet {
  private readonly running = new Map<string, RunningHost>();

  private constructor(private readonly dataFolder: string) {}

  static async start(t: ExecutionContext): Promise<Fleet> {
    const dataFolder = await mkdtemp(join(tmpdir(), 'bl-formation-'));
    const all = new Fleet(dataFolder);
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

  /** What a request to form a group anew names now; undefined where there is nothing to give up. */
  async lostId(hostId: string, groupId: string): Promise<string | undefined> {
    const { address, port } = this.host(hostId).context.settings.listen.admin;
    const reply = await fetch(`http://${address}:${port}/v1/groups/${groupId}/formation`);
    return ((await reply.json()) as { lostId?: string }).lostId;
  }

  /** Accepts the loss of a group by the identity of what is lost. */
  formAnew(hostId: string, groupId: string, lostId = ''): Promise<Response> {
    const path = `/v1/groups/${groupId}/form-anew`;
    return this.post(hostId, path, { groupId, lostId, acceptLoss: true });
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

/** Runs the work of the identity to its recorded end, once the fresh fleet has formed its groups. */
async function runOrder(t: ExecutionContext, all: Fleet): Promise<void> {
  const startedAtMs = performance.now();
  let first = await all.begin();
  while (first.decision !== 'run' && performance.now() < startedAtMs + coldStartBoundMs) {
    await delay(retryMs);
    first = await all.begin();
  }
  t.is(first.decision, 'run', `a group is formed: ${JSON.stringify(first)}`);
  t.log(`answered after ${Math.round(performance.now() - startedAtMs)} ms`);
  if (first.decision !== 'run') return;
  valueOf(await all.host('d').parts.ledger.finish(first.intentId, { outcome: 'answered', answer }));
}

/** Problem of a group as its first member tells it. */
async function problemOf(all: Fleet, groupId: string): Promise<string | undefined> {
  const { address, port } = all.host('a').context.settings.listen.admin;
  const reply = await fetch(`http://${address}:${port}/v1/groups`);
  const { groups: found } = (await reply.json()) as { groups: GroupDescription[] };
  return found.find((group) => group.groupId === groupId)?.failure?.code;
}

test.serial('a ledger group that lost every disk is not formed anew by itself', async (t) => {
  const all = await Fleet.start(t);
  await runOrder(t, all);
  const lostId = await all.lostId('d', 'ledger-a');
  const early = await all.formAnew('d', 'ledger-a', lostId);
  t.is(early.status, 409, 'a group that runs is not given up');
  await all.loseDisks(join('groups', 'ledger-a'));
  const again = await all.begin();
  t.like(again, { decision: 'refused', failure: { code: 'BL9001' } });
  t.is(await problemOf(all, 'ledger-a'), 'BL5007');

  const refused = await all.post('d', '/v1/groups/ledger-a/form-anew', {});
  t.is(refused.status, 400, 'the operator has to accept the loss in words');
  const other = await all.formAnew('d', 'ledger-a', 'never-formed');
  t.is(other.status, 409, 'only what the group was formed as can be given up');
  const accepted = await all.formAnew('d', 'ledger-a', lostId);
  t.is(accepted.status, 200);
  await runOrder(t, all);

  const formedAnew = await all.lostId('d', 'ledger-a');
  t.not(formedAnew, lostId);
  const resent = await all.formAnew('d', 'ledger-a', lostId);
  t.is(resent.status, 200, 'a resend hears the first answer, also where the group runs again');
  t.is(await all.lostId('d', 'ledger-a'), formedAnew, 'a resend gives up no later formation');
});

test.serial('an accepted loss waits until the control group has a quorum', async (t) => {
  const all = await Fleet.start(t);
  await runOrder(t, all);
  await all.loseDisks(join('groups', 'ledger-a'));
  t.like(await all.begin(), { decision: 'refused', failure: { code: 'BL9001' } });
  const lostId = await all.lostId('d', 'ledger-a');
  await all.stop(['b', 'c']);
  const answering = all.formAnew('d', 'ledger-a', lostId);
  await delay(withoutQuorumMs);
  await all.startHosts(['b', 'c']);
  t.is((await answering).status, 200);
  await runOrder(t, all);
});

test.serial('a control group that lost every disk does not forget the document', async (t) => {
  const all = await Fleet.start(t);
  const submission = firstSubmission(createTestDocument());
  const { control } = all.host('d').parts;
  const command = { type: 'submission', submission, authority: 'cluster' } as const;
  valueOf(await control!.submit(command, coldStartBoundMs));
  await until(() => all.host('d').parts.document.current()?.version === 1);
  await all.loseDisks('.');
  const read = await all.host('a').parts.control!.readBarrier(2000);
  t.is(read.isErr() ? read.error.code : 'formed anew', 'BL5007');

  const lostId = await all.lostId('a', 'control');
  const elsewhere = await all.formAnew('b', 'control', lostId);
  t.is(elsewhere.status, 404, 'only the host that forms the group can be told');
  const other = await all.formAnew('a', 'control', 'a/another-disk');
  t.is(other.status, 409, 'the empty disk has to be named');
  const accepted = await all.formAnew('a', 'control', lostId);
  t.is(accepted.status, 200);
  t.true((await all.host('a').parts.control!.readBarrier(coldStartBoundMs)).isOk());
  const resent = await all.formAnew('a', 'control', lostId);
  t.is(resent.status, 200, 'a resend hears the first answer');
});

const registered: Formation = { groupId: 'ledger-a', formationId: 'first', voters: ['a/1', 'b/1'] };
const claims: readonly { fault: string; proposed: Formation; expected: string }[] = [
  {
    fault: 'the first member stopped before its disk held the formation',
    proposed: { ...registered, formationId: 'second', voters: ['b/1', 'a/1'] },
    expected: 'first',
  },
  {
    fault: 'one disk was emptied after the formation was registered',
    proposed: { ...registered, formationId: 'second', voters: ['a/1', 'b/2'] },
    expected: 'BL5007',
  },
  {
    fault: 'another group is formed',
    proposed: { ...registered, groupId: 'ledger-b', formationId: 'other' },
    expected: 'other',
  },
];

for (const { fault, proposed, expected } of claims) {
  test(`a formation is claimed once: ${fault}`, async (t) => {
    const registry = new FormationRegistry();
    registry.register(registered);
    const restored = new FormationRegistry();
    restored.restore(registry.snapshot());
    const control = {
      registerFormation: (formation: Formation) =>
        okAsync(restored.register(formation).formation ?? formation),
    };
    const [settings] = createFleetSettings(fleet, { dataFolder: 'none', groups });
    const parts = { control, peers: {}, document: {} } as unknown as FormationGuardParts;
    const guard = new FormationGuard({ settings: settings!, clock }, parts);
    const claimed = await guard.claim(proposed);
    t.is(claimed.isOk() ? claimed.value.formationId : claimed.error.code, expected);
  });
}
