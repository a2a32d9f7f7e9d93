import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { setTimeout as delay } from 'node:timers/promises';

import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import type { Submission } from '@buckthornlug/protocol/submissions/submissionSchema.js';
import test, { type ExecutionContext } from 'ava';

import { loopbackNetwork } from '../fakes/loopback.js';
import {
  blocksSubmission,
  createControlFleet,
  exampleDocument,
  firstSubmission,
  type AdminAnswer,
  type ControlFleet,
} from './controlFleet.js';
import { startRelays, stopRelays, throughRelays, type HostRelays } from '../fakes/hostRelays.js';
import { watchVersions, type VersionWatch } from './versionWatch.js';

/** A host dies or stands still at each step of a submission. */

const timing = { electionTimeoutMs: 400, heartbeatMs: 60 };
const receiver = 'abuja-b-1';
const waitLimitMs = 15_000;
const afterSubmitMs = 60;

interface Trial {
  readonly fleet: ControlFleet;
  readonly relays: HostRelays;
  readonly document: SteeringDocument;
  readonly watch: VersionWatch;
}

/** Where a submission stands when the fault comes. */
interface Step {
  readonly step: string;
  /** Holds back the messages that would take the submission further. */
  readonly hold: (trial: Trial, leader: string) => void;
  /** Resolves when the submission has come to the step. */
  readonly reached: (
    trial: Trial,
    answer: Promise<AdminAnswer>,
    version: number,
  ) => Promise<unknown>;
}

async function until(what: string, holds: () => Promise<boolean> | boolean): Promise<void> {
  const untilMs = performance.now() + waitLimitMs;
  while (performance.now() < untilMs) {
    if (await holds()) return;
    await delay(10);
  }
  throw new Error(`not in time: ${what}`);
}

const steps: readonly Step[] = [
  {
    step: 'before it is proposed',
    hold: ({ relays }, leader) => relays.get(`${receiver}>${leader}`)?.stall('forth'),
    reached: () => delay(afterSubmitMs),
  },
  {
    step: 'after it is proposed',
    hold: ({ relays, fleet }, leader) => {
      for (const member of fleet.memberIds()) relays.get(`${leader}>${member}`)?.stall('forth');
    },
    reached: () => delay(afterSubmitMs),
  },
  {
    step: 'after the commit and before the answer',
    hold: ({ relays }, leader) => relays.get(`${receiver}>${leader}`)?.stall('back'),
    reached: ({ watch }, _answer, version) => until('the commit', () => watch.highest() >= version),
  },
  {
    step: 'while it spreads',
    hold: () => undefined,
    reached: (_trial, answer) => answer,
  },
];

async function startTrial(t: ExecutionContext, offset: number): Promise<Trial> {
  const workFolder = await mkdtemp(`${tmpdir()}/bl-steps-`);
  const network = loopbackNetwork(process.pid, offset);
  const fleet = createControlFleet(network, workFolder, timing, (settings) =>
    throughRelays(settings, network),
  );
  const relays = await startRelays(fleet.allSettings(), network);
  const watch = watchVersions(fleet);
  t.teardown(async () => {
    await watch.stop();
    await fleet.kill();
    await stopRelays(relays);
    await rm(workFolder, { recursive: true });
  });
  await fleet.start();
  const document = await exampleDocument();
  const first = await fleet.ask(receiver, '/v1/submissions', firstSubmission(document));
  t.is(first.status, 200, JSON.stringify(first.body));
  return { fleet, relays, document, watch };
}

/** Sends a submission again until its outcome is known. */
async function outcomeOf(trial: Trial, via: string, submission: Submission): Promise<AdminAnswer> {
  let answer: AdminAnswer = { status: 0, body: undefined };
  await until('an outcome', async () => {
    answer = await trial.fleet.ask(via, '/v1/submissions', submission);
    return answer.status === 200 || answer.status === 409;
  });
  return answer;
}

function versionOf({ body }: AdminAnswer): number {
  return (body as { version: number }).version;
}

async function sectionVersion(trial: Trial, via: string, name: string) {
  const { status, body } = await trial.fleet.ask(via, '/v1/document');
  if (status !== 200) return undefined;
  return (body as { base: { sections: Record<string, number> } }).base.sections[name];
}

/** Ends the fault: a killed host is started again, a frozen one goes on. */
async function repair(trial: Trial, victim: string, fault: string): Promise<void> {
  if (fault === 'killed') await trial.fleet.start([victim]);
  else trial.fleet.process(victim).resume();
}

async function runCase(
  t: ExecutionContext,
  trial: Trial,
  { step, hold, reached }: Step,
  fault: 'killed' | 'frozen',
  role: 'leader' | 'receiver',
): Promise<void> {
  const { fleet, document, watch } = trial;
  const leader = await fleet.leader();
  const victim = role === 'leader' ? leader : receiver;
  const survivor = fleet.memberIds().find((hostId) => hostId !== leader) ?? '';
  const group = `${step}-${fault}-${role}`.replace(/[^a-z]+/g, '-');
  const label = `${role} ${fault} ${step}`;
  const left = blocksSubmission(document, `left-${group}`, 0, group);
  const right = blocksSubmission(document, `right-${group}`, 0, group);
  const nextVersion = watch.highest() + 1;

  hold(trial, leader);
  const firstAnswer = fleet.ask(receiver, '/v1/submissions', left);
  await reached(trial, firstAnswer, nextVersion);
  if (fault === 'killed') await fleet.kill([victim]);
  else fleet.process(victim).pause();
  for (const relay of trial.relays.values()) relay.heal();

  const rightOutcome = await outcomeOf(trial, survivor, right);
  const leftOutcome = await outcomeOf(trial, survivor, left);
  await repair(trial, victim, fault);
  const heardFirst = await firstAnswer;

  const outcomes = [leftOutcome, rightOutcome];
  t.deepEqual(outcomes.map(({ status }) => status).sort(), [200, 409], label);
  if ([200, 409].includes(heardFirst.status)) t.deepEqual(heardFirst, leftOutcome, label);
  const version = versionOf(outcomes.find(({ status }) => status === 200) as AdminAnswer);
  await until('the version on every host', () =>
    fleet.hostIds().every((hostId) => (watch.last(hostId) ?? 0) >= version),
  );
  for (const hostId of fleet.hostIds()) {
    await until('a read', async () => {
      const read = await sectionVersion(trial, hostId, `clientBlocks/${group}`);
      return read === version;
    });
    t.deepEqual(await outcomeOf(trial, hostId, left), leftOutcome, `${label}, ${hostId}`);
    t.deepEqual(await outcomeOf(trial, hostId, right), rightOutcome, `${label}, ${hostId}`);
  }
  t.deepEqual(watch.reverted(), [], label);
}

const faults = [
  ['leader', 'killed'],
  ['leader', 'frozen'],
  ['receiver', 'killed'],
  ['receiver', 'frozen'],
] as const;

for (const [offset, [role, fault]] of faults.entries()) {
  test.serial(
    `the ${role} is ${fault} at each step of a submission: accepted is durable, one operator wins, nothing reverts`,
    async (t) => {
      t.timeout(240_000);
      const trial = await startTrial(t, offset);
      for (const step of steps) await runCase(t, trial, step, fault, role);
    },
  );
}
