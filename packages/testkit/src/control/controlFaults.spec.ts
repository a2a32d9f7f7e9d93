import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { setTimeout as delay } from 'node:timers/promises';

import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import type { VersionStatus } from '@buckthornlug/protocol/submissions/submissionSchema.js';
import test, { type ExecutionContext } from 'ava';

import { loopbackNetwork } from '../fakes/loopback.js';
import { startRelays, stopRelays, throughRelays, type HostRelays } from '../fakes/hostRelays.js';
import {
  blocksSubmission,
  createControlFleet,
  exampleDocument,
  firstSubmission,
  type ControlFleet,
} from './controlFleet.js';

const timing = { electionTimeoutMs: 400, heartbeatMs: 60 };
const members = ['lagos-a-1', 'lagos-b-1', 'abuja-a-1'];
const outsider = 'abuja-b-1';
const waitLimitMs = 15_000;
const inForceBoundMs = 2000;

/** A fleet with a document in it, and what its operators were told. */
interface Trial {
  readonly fleet: ControlFleet;
  readonly relays: HostRelays;
  readonly document: SteeringDocument;
  readonly workFolder: string;
  /** Accepted version by the section that the submission added. */
  readonly accepted: Map<string, number>;
}

async function startTrial(t: ExecutionContext, offset: number, isRelayed = false): Promise<Trial> {
  const workFolder = await mkdtemp(`${tmpdir()}/bl-control-`);
  const network = loopbackNetwork(process.pid, offset);
  const fleet = createControlFleet(network, workFolder, timing, (settings) =>
    isRelayed ? throughRelays(settings, network) : settings,
  );
  const relays: HostRelays = isRelayed
    ? await startRelays(fleet.allSettings(), network)
    : new Map();
  t.teardown(async () => {
    await fleet.kill();
    await stopRelays(relays);
    await rm(workFolder, { recursive: true });
  });
  await fleet.start();
  const document = await exampleDocument();
  const { status, body } = await fleet.ask(outsider, '/v1/submissions', firstSubmission(document));
  t.is(status, 200, JSON.stringify(body));
  return { fleet, relays, document, workFolder, accepted: new Map() };
}

/** Silently drops everything that a host sends, while it hears the others. */
function muteHost(trial: Trial, hostId: string): void {
  for (const [way, relay] of trial.relays) {
    if (way.startsWith(`${hostId}>`)) relay.stall('forth');
    if (way.endsWith(`>${hostId}`)) relay.stall('back');
  }
}

/** Submits a new section, and again until the outcome is known. */
async function submitSection(trial: Trial, group: string, via = outsider): Promise<number> {
  const submission = blocksSubmission(trial.document, `submission-${group}`, 0, group);
  const untilMs = performance.now() + waitLimitMs;
  while (performance.now() < untilMs) {
    const { status, body } = await trial.fleet.ask(via, '/v1/submissions', submission);
    if (status === 200) {
      const { version } = body as { version: number };
      trial.accepted.set(`clientBlocks/${group}`, version);
      return version;
    }
  }
  throw new Error(`submission "${group}" was not accepted in time`);
}

/** Section versions as a host reads them. */
async function sectionVersions(trial: Trial, via: string): Promise<Record<string, number>> {
  const untilMs = performance.now() + waitLimitMs;
  let answer = await trial.fleet.ask(via, '/v1/document');
  while (answer.status !== 200 && performance.now() < untilMs) {
    answer = await trial.fleet.ask(via, '/v1/document');
  }
  return (answer.body as { base: { sections: Record<string, number> } }).base.sections;
}

/** Checks on some hosts that each accepted section stands at the version that was accepted. */
async function assertKept(t: ExecutionContext, trial: Trial, hostIds: readonly string[]) {
  for (const hostId of hostIds) {
    const versions = await sectionVersions(trial, hostId);
    for (const [name, version] of trial.accepted)
      t.is(versions[name], version, `${hostId} ${name}`);
  }
}

interface ReplicaView {
  readonly hostId: string;
  readonly replicaId: string;
  readonly role: string;
}

async function replicaOf(trial: Trial, hostId: string): Promise<ReplicaView | undefined> {
  const { body } = await trial.fleet.ask(outsider, '/v1/groups');
  const [group] = (body as { groups: { replicas?: ReplicaView[] }[] }).groups;
  return group?.replicas?.find((one) => one.hostId === hostId);
}

/** Waits until a host is a voter with another replica than before. */
async function awaitNewVoter(trial: Trial, hostId: string, before: string): Promise<void> {
  const untilMs = performance.now() + waitLimitMs;
  while (performance.now() < untilMs) {
    const replica = await replicaOf(trial, hostId);
    if (replica?.role === 'voter' && replica.replicaId !== before) return;
  }
  throw new Error(`"${hostId}" did not become a voter`);
}

test.serial(
  'a leader killed at seeded moments of submissions loses no accepted version',
  async (t) => {
    const trial = await startTrial(t, 0);
    const { fleet } = trial;
    for (const [round, delayMs] of [0, 3, 7, 1, 12].entries()) {
      const leader = await fleet.leader();
      const submitted = [submitSection(trial, `r${round}-x`), submitSection(trial, `r${round}-y`)];
      await delay(delayMs);
      await fleet.kill([leader]);
      await Promise.all(submitted);
      await fleet.start([leader]);
    }
    t.is(new Set(trial.accepted.values()).size, 10);
    await assertKept(t, trial, fleet.hostIds());
  },
);

test.serial(
  'an emptied disk is repaired without an operator, and a second loss after it is borne',
  async (t) => {
    const trial = await startTrial(t, 1);
    const { fleet, workFolder } = trial;
    await submitSection(trial, 'before');
    const [first, second, third] = members as [string, string, string];
    const before = await replicaOf(trial, first);
    await fleet.kill([first]);
    await rm(`${workFolder}/data/${first}`, { recursive: true });
    await submitSection(trial, 'while-away');
    await fleet.start([first]);
    await awaitNewVoter(trial, first, before?.replicaId ?? '');
    await fleet.kill([second]);
    await submitSection(trial, 'after-second-loss');
    await assertKept(t, trial, [first, third, outsider]);
    await fleet.start([second]);
    await fleet.kill([third]);
    await submitSection(trial, 'after-third-loss');
    await assertKept(t, trial, [first, second, outsider]);
  },
);

test.serial(
  'a leader that stands still longer than its lease does not revert anything',
  async (t) => {
    const trial = await startTrial(t, 2);
    const { fleet } = trial;
    const paused = await fleet.leader();
    fleet.process(paused).pause();
    const alive = members.find((hostId) => hostId !== paused) ?? '';
    await submitSection(trial, 'while-paused', alive);
    fleet.process(paused).resume();
    await assertKept(t, trial, [paused, alive]);
    await submitSection(trial, 'after-pause', paused);
    await assertKept(t, trial, fleet.hostIds());
  },
);

test.serial(
  'after 300 changes every host killed at once comes back with all of them',
  async (t) => {
    const trial = await startTrial(t, 3);
    const { fleet } = trial;
    for (let batch = 0; batch < 10; batch += 1) {
      const groups = Array.from({ length: 30 }, (_, index) => `g${batch}-${index}`);
      await Promise.all(groups.map((group) => submitSection(trial, group)));
    }
    await fleet.kill();
    await fleet.start();
    await assertKept(t, trial, fleet.hostIds());
    t.is(trial.accepted.size, 300);
  },
);

test.serial(
  'two operators on an equal version: one wins, and a resend hears the first answer',
  async (t) => {
    const trial = await startTrial(t, 4);
    const { fleet, document } = trial;
    const left = blocksSubmission(document, 'operator-left', 0, 'shared');
    const right = blocksSubmission(document, 'operator-right', 0, 'shared');
    const [one, two] = members as [string, string];
    const answers = await Promise.all([
      fleet.ask(one, '/v1/submissions', left),
      fleet.ask(two, '/v1/submissions', right),
    ]);
    t.deepEqual(answers.map(({ status }) => status).sort(), [200, 409]);
    t.is(await fleet.stop(await fleet.leader()), 0);
    const again = [
      await fleet.ask(outsider, '/v1/submissions', left),
      await fleet.ask(outsider, '/v1/submissions', right),
    ];
    t.deepEqual(again, answers);
  },
);

test.serial(
  'a leader that is heard by nobody is replaced, and nothing is reverted after the cut',
  async (t) => {
    const trial = await startTrial(t, 5, true);
    const { fleet } = trial;
    await submitSection(trial, 'before-cut');
    const muted = await fleet.leader();
    muteHost(trial, muted);
    await submitSection(trial, 'while-cut');
    for (const relay of trial.relays.values()) relay.heal();
    await assertKept(t, trial, [muted, outsider]);
    await submitSection(trial, 'after-cut', muted);
    await assertKept(t, trial, fleet.hostIds());
  },
);

test.serial('accepted versions come in force on every host within two seconds', async (t) => {
  const trial = await startTrial(t, 6);
  const { fleet } = trial;
  for (const group of ['one', 'two', 'three']) {
    const version = await submitSection(trial, group);
    const untilMs = performance.now() + inForceBoundMs;
    let status: VersionStatus | undefined;
    while (status?.inForce !== true && performance.now() < untilMs) {
      const { body } = await fleet.ask(outsider, `/v1/versions/${version}`);
      status = body as VersionStatus;
    }
    t.like(status, { inForce: true, behindHosts: [] });
  }
});
