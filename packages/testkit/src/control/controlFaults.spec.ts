import { rm } from 'node:fs/promises';
import { setTimeout as delay } from 'node:timers/promises';

import type { VersionStatus } from '@buckthornlug/protocol/submissions/submissionSchema.js';
import test from 'ava';

import { blocksSubmission } from './controlFleet.js';
import {
  assertKept,
  awaitNewVoter,
  members,
  outsider,
  replicaOf,
  startTrial,
  submitSection,
  type Trial,
} from './controlTrial.js';

const inForceBoundMs = 2000;

/** Silently drops everything that a host sends, while it hears the others. */
function muteHost(trial: Trial, hostId: string): void {
  for (const [way, relay] of trial.relays) {
    if (way.startsWith(`${hostId}>`)) relay.stall('forth');
    if (way.endsWith(`>${hostId}`)) relay.stall('back');
  }
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
