import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { signSubmission } from '@buckthornlug/core/submissions/submissionSignature.js';
import { splitSections } from '@buckthornlug/protocol/document/sections.js';
import { features } from '@buckthornlug/host/features.js';
import test from 'ava';
import { request } from 'undici';

import { startCallFleet, until } from '../calls/callFleet.js';
import { createTestDocument, testService } from '../fakes/testDocument.js';

const dataFolder = await mkdtemp(join(tmpdir(), 'bl-shifts-'));
const document = createTestDocument();
const traffic = document.traffic[testService]!;
traffic.weights = { lagos: 500 };
traffic.shiftCap = { stepPermille: 200, stepIntervalMs: 300, maxShiftedCallsPerS: 20 };
const zones = ['lagos-a', 'lagos-b', 'abuja-a', 'abuja-a'];
const fleet = await startCallFleet({
  hosts: zones.map((availabilityZone, index) => ({
    hostId: `host-${index}`,
    region: availabilityZone.startsWith('lagos') ? 'lagos' : 'abuja',
    availabilityZone,
    roles: index < 3 ? ['entry', 'control'] : ['entry'],
  })),
  overrides: {
    dataFolder,
    groups: [{ id: 'control', members: ['host-0', 'host-1', 'host-2'] }],
    timing: { electionTimeoutMs: 300, heartbeatMs: 50, documentPollMs: 100 },
  },
  features,
  backendHosts: [],
});

test.after.always(async () => {
  await fleet.stop();
  await rm(dataFolder, { recursive: true });
});

/** Commits the document as the first version. */
async function bootstrap(): Promise<void> {
  const sections = Object.fromEntries(splitSections(document));
  const baseVersions = Object.fromEntries(Object.keys(sections).map((name) => [name, 0]));
  const body = { submissionId: 'bootstrap-1', team: 'platform', keyId: 'key-1' };
  const submission = signSubmission({ ...body, baseVersions, sections }, 'team-secret-0123456789');
  const { control } = fleet.hosts[0]!.parts;
  const command = { type: 'submission', submission, authority: 'cluster' } as const;
  for (let tries = 0; tries < 10; tries += 1) {
    const outcome = await control!.submit(command, 2000);
    if (outcome.isOk() && outcome.value.accepted) return;
  }
  throw new Error('the first document was not accepted');
}

test.serial(
  'a weight is reached by steps on every host, also on one that is no member',
  async (t) => {
    await bootstrap();
    const movedOn = (host: number) =>
      fleet.hosts[host]!.parts.shifts.movedPermille(testService, 'region', 'lagos');
    const seen = new Set<number>();
    await until(() => {
      seen.add(movedOn(3));
      return zones.every((_zone, host) => movedOn(host) === 500);
    }, 15_000);
    t.deepEqual([...seen], [0, 200, 400, 500]);
    const { admin } = fleet.settings[3]!.listen;
    const reply = await request(`http://${admin.address}:${admin.port}/v1/shifts`);
    t.deepEqual(await reply.body.json(), {
      shifts: [
        {
          service: testService,
          region: 'lagos',
          movedPermille: 500,
          targetPermille: 500,
          step: 3,
          held: false,
        },
      ],
    });
  },
);

test.serial('the pool owner admits no more than its part of the cap in a second', async (t) => {
  const owner = fleet.hosts[2]!.parts.poolOwner('abuja-a', testService);
  const host = fleet.hosts.find((each) => each.context.settings.hostId === owner);
  const { shifts } = (host ?? fleet.hosts[2]!).parts;
  const admitted: { beforeMs: number; afterMs: number }[] = [];
  await until(() => {
    for (let call = 0; call < 30; call += 1) {
      const beforeMs = performance.now();
      const refusal = shifts.admitShifted(testService, 'lagos');
      const afterMs = performance.now();
      if (refusal === undefined) admitted.push({ beforeMs, afterMs });
      else t.is(refusal.code, 'BL8001');
    }
    return admitted.length >= 50;
  }, 15_000);
  for (const [index, { beforeMs }] of admitted.entries()) {
    const next = admitted[index + 20];
    if (next !== undefined) t.true(next.afterMs - beforeMs > 1000);
  }
});

test.serial(
  'a host whose sources have lost the control group holds its steps and says so',
  async (t) => {
    const [first, ...lost] = fleet.hosts;
    await Promise.all(lost.slice(0, 2).map((host) => host.stop()));
    const cutOff = fleet.hosts[3]!;
    const heldReasons = (host = cutOff) =>
      host.context.timeline
        .read(-1)
        .filter((event) => event.kind === 'shiftHeld')
        .map((event) => event.detail?.reason);
    await until(
      () => heldReasons().includes('noContact') && heldReasons(first).includes('noContact'),
      30_000,
    );
    t.is(cutOff.parts.shifts.movedPermille(testService, 'region', 'lagos'), 500);
    const { admin } = fleet.settings[3]!.listen;
    const reply = await request(`http://${admin.address}:${admin.port}/v1/shifts`);
    t.like(await reply.body.json(), { shifts: [{ movedPermille: 500, held: true }] });
  },
);
