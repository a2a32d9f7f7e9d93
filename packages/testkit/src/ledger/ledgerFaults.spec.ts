import type { LedgerKey } from '@buckthornlug/protocol/steering/ledgerTypes.js';
import test from 'ava';

import { createDraws } from '../random/draws.js';
import { faultlessNetwork, type FakeLedgerGroup } from './fakeLedgerGroup.js';
import { OnceBackend } from './onceBackend.js';
import { OnceFleet } from './onceFleet.js';
import type { OnceMoment, OnceReply } from './onceHost.js';
import { VirtualTime } from '../time/virtualTime.js';

const seed = 4;
const timeLimitMs = 3000;
const noBackendFaults = { refuses: 0, answerLost: 0, late: 0 };

/** What a case may bring about. The first call goes to host a, the resends to host b. */
interface Scene {
  readonly fleet: OnceFleet;
  readonly time: VirtualTime;
  readonly group: FakeLedgerGroup;
}

interface FaultCase {
  readonly fault: string;
  readonly moment: OnceMoment | 'start';
  readonly bringAbout: (scene: Scene) => void;
  readonly resendAtMs: number;
  readonly resendDigest?: string;
}

const after = (scene: Scene, delayMs: number, run: () => void) => scene.time.schedule(delayMs, run);

const cases: FaultCase[] = [
  { fault: 'none', moment: 'start', bringAbout: () => undefined, resendAtMs: 500 },
  {
    fault: 'resend to another host while in flight',
    moment: 'start',
    bringAbout: () => undefined,
    resendAtMs: 15,
  },
  {
    fault: 'another request under the same identity',
    moment: 'start',
    bringAbout: () => undefined,
    resendAtMs: 500,
    resendDigest: 'other',
  },
  {
    fault: 'holder killed before dispatch',
    moment: 'beforeDispatch',
    bringAbout: ({ fleet }) => fleet.kill('host-a'),
    resendAtMs: 500,
  },
  {
    fault: 'holder killed after dispatch',
    moment: 'beforeDispatch',
    bringAbout: (scene) => after(scene, 3, () => scene.fleet.kill('host-a')),
    resendAtMs: 500,
  },
  {
    fault: 'holder killed after dispatch and restarted at once',
    moment: 'beforeDispatch',
    bringAbout: (scene) => after(scene, 3, () => scene.fleet.restart('host-a')),
    resendAtMs: 100,
  },
  {
    fault: 'holder killed after the answer, before the outcome commit',
    moment: 'afterAnswer',
    bringAbout: ({ fleet }) => fleet.kill('host-a'),
    resendAtMs: 500,
  },
  {
    fault: 'holder killed after the outcome commit',
    moment: 'afterOutcome',
    bringAbout: ({ fleet }) => fleet.kill('host-a'),
    resendAtMs: 500,
  },
  {
    fault: 'reply to the begin command lost',
    moment: 'start',
    bringAbout: ({ group }) => group.misbehaveFor(500, { ...faultlessNetwork, replyLost: 1 }),
    resendAtMs: 2500,
  },
  {
    fault: 'reply to the begin command lost, then no leader for long',
    moment: 'start',
    bringAbout: (scene) => {
      scene.group.misbehaveFor(500, { ...faultlessNetwork, replyLost: 1 });
      after(scene, 500, () => scene.group.loseLeaderFor(5500));
    },
    resendAtMs: 8000,
  },
  {
    fault: 'holder cut off from the ledger',
    moment: 'start',
    bringAbout: ({ group }) => group.cutOffFor(6000, 'host-a'),
    resendAtMs: 500,
  },
  {
    fault: 'holder cut off before the outcome commit',
    moment: 'afterAnswer',
    bringAbout: ({ group }) => group.cutOffFor(6000, 'host-a'),
    resendAtMs: 500,
  },
  {
    fault: 'no leader when the call begins',
    moment: 'start',
    bringAbout: ({ group }) => group.loseLeaderFor(900),
    resendAtMs: 2500,
  },
  {
    fault: 'leader changes before the outcome commit',
    moment: 'afterAnswer',
    bringAbout: ({ group }) => group.loseLeaderFor(900),
    resendAtMs: 500,
  },
  {
    fault: 'holder paused beyond its deadline, then wakes',
    moment: 'beforeDispatch',
    bringAbout: (scene) => {
      scene.fleet.pause('host-a');
      after(scene, 6000, () => scene.fleet.resume('host-a'));
    },
    resendAtMs: 500,
  },
  {
    fault: 'disk of the leader emptied while in flight',
    moment: 'beforeDispatch',
    bringAbout: ({ group }) => group.moveToRepairedReplica(),
    resendAtMs: 500,
  },
];

function nameOf(reply: OnceReply | undefined): string {
  if (reply === undefined) return 'no reply';
  return reply.reply === 'answer' ? String(reply.answer.status) : reply.failure.code;
}

/** Runs one case and tells what each call heard, how often the work ran, and the events. */
async function runCase({ moment, bringAbout, resendAtMs, resendDigest }: FaultCase) {
  const time = new VirtualTime();
  const random = createDraws(seed);
  const backend = new OnceBackend(time, random, noBackendFaults, timeLimitMs);
  let isDue = true;
  const fleet: OnceFleet = new OnceFleet({
    time,
    random,
    backend,
    hostIds: ['host-a', 'host-b'],
    groupIds: ['ledger'],
    onMoment: (seen) => {
      if (!isDue || seen !== moment) return;
      isDue = false;
      bringAbout({ fleet, time, group: fleet.groups[0]! });
    },
  });
  if (moment === 'start') bringAbout({ fleet, time, group: fleet.groups[0]! });
  const replies: (OnceReply | undefined)[] = [undefined, undefined, undefined];
  const send = (index: number, hostId: string, atMs: number, requestDigest = 'digest') => {
    const key: LedgerKey = { service: 'shop', kind: 'order', identity: 'a', requestDigest };
    time.schedule(atMs, () => {
      const host = fleet.host(hostId);
      host.call(key, ['ledger'], time.nowMs + timeLimitMs).then(
        (reply) => {
          replies[index] = reply;
        },
        () => undefined,
      );
    });
  };
  send(0, 'host-a', 0);
  send(1, 'host-b', resendAtMs, resendDigest);
  send(2, 'host-b', 20_000);
  await time.runUntil(30_000);
  const events = fleet.events.map((event) => event.kind);
  return { heard: replies.map(nameOf), executions: backend.countOf('a'), events };
}

for (const faultCase of cases) {
  test(`work runs at most once; fault: ${faultCase.fault}`, async (t) => {
    const seen = await runCase(faultCase);
    t.true(seen.executions <= 1);
    t.snapshot(seen);
  });
}

test('an intent that was declared unknown before its host could dispatch it is proved not run', async (t) => {
  const seen = await runCase({
    fault: 'declared unknown before the begin command is repeated',
    moment: 'start',
    bringAbout: (scene) => {
      scene.group.misbehaveFor(500, { ...faultlessNetwork, replyLost: 1 });
      const lose = { type: 'loseHolder', hostId: 'host-a', maxIncarnation: 1 } as const;
      after(scene, 300, () => scene.group.commit(lose));
    },
    resendAtMs: 2500,
  });
  t.deepEqual(seen.heard, ['BL9001', '201', '201']);
  t.is(seen.executions, 1);
});

test('a host that is cut off refuses each call as not run, without dispatch', async (t) => {
  const time = new VirtualTime();
  const random = createDraws(seed);
  const backend = new OnceBackend(time, random, noBackendFaults, timeLimitMs);
  const hostIds = ['host-a'];
  const onMoment = () => undefined;
  const fleet = new OnceFleet({ time, random, backend, hostIds, groupIds: ['ledger'], onMoment });
  fleet.groups[0]!.cutOffFor(20_000, 'host-a');
  const codes: string[] = [];
  for (let index = 0; index < 6; index += 1) {
    const identity = `order-${index}`;
    const key: LedgerKey = { service: 'shop', kind: 'order', identity, requestDigest: 'd' };
    time.schedule(index * 3500, () => {
      fleet
        .host('host-a')
        .call(key, ['ledger'], time.nowMs + timeLimitMs)
        .then(
          (reply) => codes.push(nameOf(reply)),
          () => undefined,
        );
    });
  }
  await time.runUntil(30_000);
  t.deepEqual(codes, Array(6).fill('BL9001'));
  t.is(backend.executions.size, 0);
});
