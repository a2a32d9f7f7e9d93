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
import { createLog } from '@buckthornlug/host/log/log.js';
import test from 'ava';
import { okAsync } from 'neverthrow';

import { createFleetSettings } from '../fakes/hostSettings.js';
import {
  coldStartBoundMs,
  fleet,
  FormationFleet,
  groups,
  problemOf,
  readUntil,
  runOrder,
  teamSigner,
} from './formationFleet.js';

const clock = { nowMs: () => performance.now(), wallMs: () => Date.now() };
const withoutQuorumMs = 1000;
const registeredBoundMs = 15_000;

test.serial('a ledger group that lost every disk is not formed anew by itself', async (t) => {
  const all = await FormationFleet.start(t);
  await all.submitDocument();
  await runOrder(t, all);
  const lostId = await all.lostId('d', 'ledger-a');
  const early = await all.formAnew('d', 'ledger-a', lostId, teamSigner);
  t.is(early.status, 409, 'a group that runs is not given up');
  await all.loseDisks(join('groups', 'ledger-a'));
  const again = await all.begin();
  t.like(again, { decision: 'refused', failure: { code: 'BL9001' } });
  t.is(await problemOf(all, 'ledger-a'), 'BL5007');

  const refused = await all.post('d', '/v1/groups/ledger-a/form-anew', {});
  t.is(refused.status, 400, 'the operator has to accept the loss in words');
  const other = await all.formAnew('d', 'ledger-a', 'never-formed', teamSigner);
  t.is(other.status, 409, 'only what the group was formed as can be given up');
  const wrongKey = await all.formAnew('d', 'ledger-a', lostId, { ...teamSigner, secret: 'wrong' });
  t.is(wrongKey.status, 401, 'a wrong key gives nothing up');
  const cluster = await all.formAnew('d', 'ledger-a', lostId);
  t.is(cluster.status, 401, 'a cluster key counts only before the first document');
  t.is(await all.lostId('d', 'ledger-a'), lostId);
  const accepted = await all.formAnew('d', 'ledger-a', lostId, teamSigner);
  t.is(accepted.status, 200);
  await runOrder(t, all);

  const formedAnew = await all.lostId('d', 'ledger-a');
  t.not(formedAnew, lostId);
  const resent = await all.formAnew('d', 'ledger-a', lostId, teamSigner);
  t.is(resent.status, 200, 'a resend hears the first answer, also where the group runs again');
  await all.loseDisks(join('groups', 'ledger-a'));
  const replayed = await all.formAnew('d', 'ledger-a', lostId, teamSigner);
  t.is(replayed.status, 200);
  t.is(await all.lostId('d', 'ledger-a'), formedAnew, 'a replay gives up no later formation');
  t.like(await all.begin(), { decision: 'refused', failure: { code: 'BL9001' } });
  t.is(await problemOf(all, 'ledger-a'), 'BL5007');
  const unsigned = await all.runFormAnewCommand('d', 'ledger-a', {
    ...teamSigner,
    secret: 'wrong',
  });
  t.is(unsigned.status, 2);
  t.regex(unsigned.printed, /BL2006/);
  const told = await all.runFormAnewCommand('d', 'ledger-a', teamSigner);
  t.is(told.status, 0, told.printed);
  t.true(told.printed.includes(`gives up ${formedAnew}`));
  await runOrder(t, all);
});

test.serial('an accepted loss waits until the control group has a quorum', async (t) => {
  const all = await FormationFleet.start(t);
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
  const all = await FormationFleet.start(t);
  await all.submitDocument();
  await all.loseDisks('.');
  const read = await all.host('a').parts.control!.readBarrier(2000);
  t.is(read.isErr() ? read.error.code : 'formed anew', 'BL5007');

  const lostId = await all.lostId('a', 'control');
  const elsewhere = await all.formAnew('b', 'control', lostId);
  t.is(elsewhere.status, 404, 'only the host that forms the group can be told');
  const team = await all.formAnew('a', 'control', lostId, teamSigner);
  t.is(team.status, 401, 'without the document no team can be checked');
  const other = await all.formAnew('a', 'control', 'a/another-disk');
  t.is(other.status, 409, 'the empty disk has to be named');
  const accepted = await all.formAnew('a', 'control', lostId);
  t.is(accepted.status, 200);
  t.true((await all.host('a').parts.control!.readBarrier(coldStartBoundMs)).isOk());
  const resent = await all.formAnew('a', 'control', lostId);
  t.is(resent.status, 200, 'a resend hears the first answer');

  await all.loseDisks('.');
  const again = await all.host('a').parts.control!.readBarrier(2000);
  t.is(again.isErr() ? again.error.code : 'formed anew', 'BL5007');
  const replayed = await all.formAnew('a', 'control', lostId);
  t.is(replayed.status, 409, 'a replay names a disk that is gone');
});

test.serial(
  'a ledger group that runs on is registered with a control group formed anew',
  async (t) => {
    const all = await FormationFleet.start(t);
    await runOrder(t, all);
    const formedAs = await all.lostId('d', 'ledger-a');
    await all.loseDisks(join('groups', 'control'));
    const startedAtMs = performance.now();
    const registeredAs = await readUntil(
      () => all.lostId('d', 'ledger-a'),
      (lostId) => lostId !== undefined,
      registeredBoundMs,
    );
    t.is(registeredAs, formedAs);
    t.log(`registered after ${Math.round(performance.now() - startedAtMs)} ms`);
    await all.loseDisks(join('groups', 'ledger-a'));
    t.like(await all.begin(), { decision: 'refused', failure: { code: 'BL9001' } });
    t.is(await problemOf(all, 'ledger-a'), 'BL5007');
  },
);

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
    const log = createLog('a', 'error', () => undefined);
    const guard = new FormationGuard({ settings: settings!, clock, log }, parts);
    const claimed = await guard.claim(proposed);
    t.is(claimed.isOk() ? claimed.value.formationId : claimed.error.code, expected);
  });
}
