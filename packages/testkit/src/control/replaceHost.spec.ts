import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import { signReplicaChange } from '@buckthornlug/core/groups/replicaChangeSignature.js';
import type { ReplicaChange } from '@buckthornlug/protocol/groups/replicaChangeSchema.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import test, { type ExecutionContext } from 'ava';

import { runTool } from '../demo/demoTool.js';
import { deploymentKeys } from '../deployment/deployment.js';
import type { AdminAnswer } from './controlFleet.js';
import {
  assertKept,
  awaitNewVoter,
  members,
  outsider,
  replicaOf,
  startTrial,
  submitSection,
  type ReplicaView,
  type Trial,
} from './controlTrial.js';

const waitLimitMs = 20_000;
const groupPath = '/v1/groups/control/replicas';
const [lost, second, third] = members as [string, string, string];

interface SignedChange {
  readonly baseReplicaIds: readonly string[];
}

async function replicas(trial: Trial, via: string): Promise<readonly ReplicaView[]> {
  const { body } = await trial.fleet.ask(via, '/v1/groups');
  const [group] = (body as { groups?: { replicas?: ReplicaView[] }[] })?.groups ?? [];
  return group?.replicas ?? [];
}

async function signedChange(
  trial: Trial,
  change: ReplicaChange,
  key: { id: string; secret: string } = deploymentKeys.cluster,
) {
  const untilMs = performance.now() + waitLimitMs;
  let baseReplicaIds: string[] = [];
  while (baseReplicaIds.length === 0 && performance.now() < untilMs) {
    baseReplicaIds = (await replicas(trial, third)).map(({ replicaId }) => replicaId);
  }
  const body = { groupId: 'control', change, baseReplicaIds, issuedAtMs: Date.now() };
  return signReplicaChange(body, key);
}

function codeOf({ body }: AdminAnswer): string | undefined {
  return (body as { failure?: Failure } | undefined)?.failure?.code;
}

/** Sends one and the same change until its outcome is known. */
async function settle(trial: Trial, signed: SignedChange): Promise<AdminAnswer> {
  const untilMs = performance.now() + waitLimitMs;
  let answer: AdminAnswer = { status: 0, body: undefined };
  while (performance.now() < untilMs) {
    answer = await trial.fleet.ask(third, groupPath, signed);
    const code = codeOf(answer) ?? '';
    if (answer.status !== 0 && !['BL5001', 'BL5002', 'BL5005', 'BL6003'].includes(code)) break;
    await delay(50);
  }
  return answer;
}

/** Starts the host that is new to the group. */
async function startNewHost(trial: Trial): Promise<void> {
  await trial.fleet.restartWith(outsider, {
    roles: ['entry', 'control'],
    dataFolder: `${trial.workFolder}/data/${outsider}`,
    groups: [{ id: 'control', members: [second, third, outsider] }],
  });
}

/** Kills the leader in mid-change, and starts it again. */
async function killLeaderMidChange(trial: Trial, signed: SignedChange, delayMs: number) {
  const { fleet } = trial;
  const leader = await fleet.leader();
  const sent = fleet.ask(leader, groupPath, signed);
  await delay(delayMs);
  await fleet.kill([leader]);
  await sent;
  await fleet.start([leader]);
}

/** Faults while a change is under way; each leaves the host `third` alive to be asked. */
const faults = [
  { fault: 'none', inject: async () => undefined },
  {
    fault: 'the request comes twice at once and again later',
    inject: async (trial: Trial, signed: SignedChange) => {
      await Promise.all([settle(trial, signed), settle(trial, signed)]);
    },
  },
  {
    fault: 'the leader is killed 1 ms after the request was sent',
    inject: (trial: Trial, signed: SignedChange) => killLeaderMidChange(trial, signed, 1),
  },
  {
    fault: 'the leader is killed 15 ms after the request was sent',
    inject: (trial: Trial, signed: SignedChange) => killLeaderMidChange(trial, signed, 15),
  },
  {
    fault: 'the new host is killed and started again while it catches up',
    inject: async (trial: Trial, signed: SignedChange) => {
      const sent = trial.fleet.ask(third, groupPath, signed);
      await delay(5);
      await trial.fleet.kill([outsider]);
      await sent;
      await trial.fleet.start([outsider]);
    },
  },
] as const;

async function assertReplaced(t: ExecutionContext, trial: Trial): Promise<void> {
  const found = await replicas(trial, third);
  t.deepEqual(
    found.map(({ hostId, role }) => `${hostId} ${role}`).sort(),
    [second, third, outsider].map((hostId) => `${hostId} voter`).sort(),
  );
}

for (const [index, { fault, inject }] of faults.entries()) {
  test.serial(
    `a lost host is replaced by one new to the group, and a second loss after it is borne; fault: ${fault}`,
    async (t) => {
      const trial = await startTrial(t, 20 + index);
      const { fleet } = trial;
      await submitSection(trial, 'before');
      const former = await replicaOf(trial, lost);
      await startNewHost(trial);
      await fleet.kill([lost]);
      await fleet.leader();
      const added = await signedChange(trial, { change: 'add', hostId: outsider });
      await inject(trial, added);
      const answer = await settle(trial, added);
      t.is(answer.status, 200, JSON.stringify(answer.body));
      await awaitNewVoter(trial, outsider, '');
      const replicaId = former?.replicaId ?? '';
      const removed = await signedChange(trial, { change: 'remove', replicaId });
      t.is((await settle(trial, removed)).status, 200);
      t.is((await settle(trial, removed)).status, 200);
      t.is((await settle(trial, added)).status, 200);
      await assertReplaced(t, trial);
      await fleet.kill([second]);
      await submitSection(trial, 'after-second-loss', third);
      await assertKept(t, trial, [third, outsider]);
      await fleet.start([second, lost]);
      await submitSection(trial, 'after-return', third);
      await assertKept(t, trial, [second, third, outsider]);
      await assertReplaced(t, trial);
    },
  );
}

test.serial('a change that must not be made is refused and changes nothing', async (t) => {
  const trial = await startTrial(t, 30);
  const { fleet } = trial;
  const before = await replicas(trial, third);
  const idOf = (hostId: string) => before.find((one) => one.hostId === hostId)?.replicaId ?? '';
  const remove = { change: 'remove', replicaId: idOf(second) } as const;
  const wrongKey = { id: deploymentKeys.cluster.id, secret: 'wrong-secret-0123456789' };
  const wrong = await signedChange(trial, remove, wrongKey);
  t.is(codeOf(await fleet.ask(third, groupPath, wrong)), 'BL5012');
  const absent = await signedChange(trial, { change: 'add', hostId: outsider });
  t.is(codeOf(await fleet.ask(third, groupPath, absent)), 'BL5005');
  const old = signReplicaChange(
    {
      groupId: 'control',
      change: remove,
      baseReplicaIds: [idOf(second), idOf(third)],
      issuedAtMs: Date.now(),
    },
    deploymentKeys.cluster,
  );
  t.is(codeOf(await settle(trial, old)), 'BL5010');
  await fleet.kill([lost]);
  await fleet.leader();
  const costly = await signedChange(trial, remove);
  t.is(codeOf(await settle(trial, costly)), 'BL5011');
  t.deepEqual(
    (await replicas(trial, third)).map(({ replicaId }) => replicaId).sort(),
    before.map(({ replicaId }) => replicaId).sort(),
  );
});

test.serial("the operators' tool replaces a host, and may be run again", async (t) => {
  const trial = await startTrial(t, 31);
  const { fleet, workFolder } = trial;
  await startNewHost(trial);
  await fleet.kill([lost]);
  await fleet.leader();
  const secretFile = join(workFolder, 'key.txt');
  await writeFile(secretFile, `${deploymentKeys.cluster.secret}\n`);
  const admins = [third, second].map((hostId) => {
    const { address, port } = fleet.settingsOf(hostId).listen.admin;
    return `http://${address}:${port}`;
  });
  const key = ['--key', deploymentKeys.cluster.id, '--secret-file', secretFile];
  for (const round of ['first', 'again']) {
    const added = await runTool(admins, ['group', 'add-replica', 'control', outsider, ...key]);
    t.is(added.status, 0, `${round}: ${added.output}`);
    const removed = await runTool(admins, ['group', 'remove-replica', 'control', lost, ...key]);
    t.is(removed.status, 0, `${round}: ${removed.output}`);
  }
  await assertReplaced(t, trial);
  const refused = await runTool(admins, ['group', 'add-replica', 'control', lost, ...key]);
  t.is(refused.status, 2, refused.output);
});
