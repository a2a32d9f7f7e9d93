import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { setTimeout as delay } from 'node:timers/promises';

import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';
import test, { type ExecutionContext } from 'ava';

import { blocksSubmission, firstSubmission } from '../control/controlFleet.js';
import { createTestDocument } from '../fakes/testDocument.js';
import { PartitionFleet } from './partitionFleet.js';
import { timeUntil } from '../time/timeUntil.js';

const document = createTestDocument({ ledgerGroups: ['ledger-1'] });
const cutOff = 'abuja-a-1';
const connected = ['lagos-a-1', 'lagos-b-1'];
const everyone = [...connected, cutOff];
const detectionBoundMs = 3000;
const waitLimitMs = 15_000;
const longElections = { electionTimeoutMs: 2000, heartbeatMs: 200 };

async function startFleet(
  t: ExecutionContext,
  offset: number,
  timing?: Partial<Settings['timing']>,
): Promise<PartitionFleet> {
  const workFolder = await mkdtemp(`${tmpdir()}/bl-partition-`);
  const fleet = await PartitionFleet.start(workFolder, offset, timing);
  t.teardown(async () => {
    await fleet.stop();
    await rm(workFolder, { recursive: true });
  });
  const { status, body } = await fleet.fleet.ask(
    cutOff,
    '/v1/submissions',
    firstSubmission(document),
  );
  t.is(status, 200, JSON.stringify(body));
  return fleet;
}

async function allAt(fleet: PartitionFleet, hosts: readonly string[], version: number) {
  const versions = await Promise.all(hosts.map((hostId) => fleet.versionOn(hostId)));
  return versions.every((one) => one === version);
}

/** Whether the given hosts agree on a leader among them for every group. */
async function allLed(fleet: PartitionFleet, hosts: readonly string[]): Promise<boolean> {
  const views = await Promise.all(hosts.map((host) => fleet.leadersSeen(host)));
  const first = views[0] ?? [];
  if (!first.every(({ leaderId }) => hosts.includes(leaderId ?? ''))) return false;
  return views.every((view) => JSON.stringify(view) === JSON.stringify(first));
}

test.serial(
  'a zone cut off goes on with its own backend servers and catches up after the heal',
  async (t) => {
    const fleet = await startFleet(t, 1);
    const backend = await fleet.addBackend(cutOff);
    await backend.whenAnnounced();
    t.true((await timeUntil(() => allAt(fleet, everyone, 1))) < waitLimitMs);
    t.is((await fleet.call(cutOff, 'GET', '/catalogue')).status, 200);
    t.is((await fleet.call(cutOff, 'POST', '/orders', 'order-1')).status, 200);

    fleet.isolate(cutOff);
    const seenMs = await timeUntil(async () => {
      const seen = [fleet.stateSeen(cutOff, connected[0]!), fleet.stateSeen(connected[0]!, cutOff)];
      return (await Promise.all(seen)).every((state) => state === 'failed');
    });
    t.true(seenMs <= detectionBoundMs, `${seenMs} ms`);

    t.is((await fleet.lookUp(cutOff)).status, 200, 'look-ups go on');
    for (let number = 0; number < 10; number += 1) {
      t.is((await fleet.call(cutOff, 'GET', '/catalogue')).status, 200, 'idempotent work goes on');
    }
    const runs = backend.executions().size;
    const order = await fleet.call(cutOff, 'POST', '/orders', 'order-2');
    t.like(
      order,
      { code: 'BL9001', execution: 'unknown' },
      'an earlier call may have run elsewhere',
    );
    t.is(backend.executions().size, runs, 'nothing ran without a committed intent');

    const change = blocksSubmission(document, 'submission-2', 0, 'west');
    const refused = await fleet.fleet.ask(cutOff, '/v1/submissions', change);
    t.not(refused.status, 200, JSON.stringify(refused.body));
    const accepted = await fleet.fleet.ask(connected[0]!, '/v1/submissions', change);
    t.like(accepted, { status: 200, body: { version: 2 } });
    const waiting = await fleet.fleet.ask(connected[1]!, '/v1/versions/2?waitMs=1000');
    t.like(waiting, {
      status: 504,
      body: { behindHosts: [{ hostId: cutOff, documentVersion: 1 }], failure: { code: 'BL2009' } },
    });
    t.is(await fleet.versionOn(cutOff), 1, 'nothing moves out of contact');

    fleet.heal();
    t.true((await timeUntil(() => allAt(fleet, everyone, 2))) < waitLimitMs);
    const confirmed = await fleet.fleet.ask(connected[1]!, '/v1/versions/2?waitMs=5000');
    t.is(confirmed.status, 200, JSON.stringify(confirmed.body));
    const working = () => fleet.call(cutOff, 'POST', '/orders', 'order-2');
    t.true((await timeUntil(async () => (await working()).status === 200)) < waitLimitMs);
  },
);

test.serial(
  'a control host that was silent for long comes back without disturbing the rest',
  async (t) => {
    const fleet = await startFleet(t, 2, longElections);
    t.true((await timeUntil(() => allAt(fleet, everyone, 1))) < waitLimitMs);
    t.true((await timeUntil(() => allLed(fleet, everyone))) < waitLimitMs);
    fleet.isolate(cutOff);
    await timeUntil(async () => (await fleet.stateSeen(connected[0]!, cutOff)) === 'failed');
    for (let version = 2; version <= 6; version += 1) {
      const change = blocksSubmission(document, `submission-${version}`, 0, `group-${version}`);
      const { status, body } = await fleet.fleet.ask(connected[0]!, '/v1/submissions', change);
      t.is(status, 200, JSON.stringify(body));
    }
    // Several election timeouts pass on the far side.
    await delay(3 * longElections.electionTimeoutMs);
    t.true((await timeUntil(() => allLed(fleet, connected))) < waitLimitMs);
    const before = await fleet.leadersSeen(connected[0]!);
    fleet.heal();
    t.true((await timeUntil(() => allAt(fleet, everyone, 6))) < waitLimitMs);
    await delay(2 * longElections.electionTimeoutMs);
    t.deepEqual(await fleet.leadersSeen(connected[0]!), before);
    t.true(await allAt(fleet, everyone, 6));
  },
);
