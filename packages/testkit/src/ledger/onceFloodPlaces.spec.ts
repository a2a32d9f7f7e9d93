import { setTimeout as delay } from 'node:timers/promises';

import test from 'ava';

import type { TestReply } from '../calls/callFleet.js';
import { testService } from '../fakes/testDocument.js';
import {
  countEnds,
  isAnswered,
  startOnceCallFleet,
  type OnceCallFleet,
  type OnceCallFleetOptions,
} from './onceCallFleet.js';

const floodCalls = 400;
const floodIntervalMs = 3;
const answerMs = 60;
/** Commits that each refused call may cost on average: a fifth of an intent and its end. */
const commitsPerRefusedCall = 0.4;
/** Calls that the slots answer at least: a fifth of what three slots can. */
const leastAnsweredPerS = 10;

/** A flood at one host whose calls may run elsewhere. */
interface FloodCase {
  readonly name: string;
  readonly fleet: OnceCallFleetOptions;
  /** Host that the callers send to. */
  readonly host: (fleet: OnceCallFleet) => number;
  /** Changes the hosts before the flood. */
  readonly prepare?: (fleet: OnceCallFleet) => void;
}

/** Entries that the ledger has committed. */
function commitsOf({ hosts }: OnceCallFleet): number {
  const indexes = hosts.map(
    ({ parts }) => parts.rpcHandlers.consensus?.describe({ groupId: 'ledger-a' }).commitIndex ?? 0,
  );
  return Math.max(...indexes);
}

/** Sends the traffic of the first zone elsewhere. */
function shiftFirstZone({ hosts }: OnceCallFleet): void {
  const { parts } = hosts[0]!;
  const movedPermille = (_service: string, scope: string) => (scope === 'zone' ? 1000 : 0);
  parts.provide({ shifts: { ...parts.shifts, movedPermille } });
}

/** First host that does not own the pool of the first zone. */
function besideOwner({ hosts }: OnceCallFleet): number {
  const owner = hosts[0]!.parts.poolOwner('lagos-a', testService);
  return hosts.findIndex(({ context }) => context.settings.hostId !== owner);
}

const cases: readonly FloodCase[] = [
  {
    name: 'a host beside the pool owner',
    fleet: { zones: ['lagos-a', 'lagos-a', 'lagos-a'], backendHosts: [0], meanMs: answerMs },
    host: besideOwner,
  },
  {
    name: 'calls that may leave by credit',
    fleet: { backendHosts: [0, 1], meanMs: answerMs },
    host: () => 0,
  },
  {
    name: 'a zone without backend servers',
    fleet: { backendHosts: [1, 1], meanMs: answerMs },
    host: () => 0,
  },
  {
    name: 'a zone whose traffic is shifted',
    fleet: { backendHosts: [0, 1], meanMs: answerMs },
    host: () => 0,
    prepare: shiftFirstZone,
  },
];

for (const { name, fleet: options, host: hostOf, prepare } of cases) {
  test.serial(`a flood of once-only work costs few commits: ${name}`, async (t) => {
    const fleet = await startOnceCallFleet(options);
    t.teardown(fleet.stop);
    prepare?.(fleet);
    const host = hostOf(fleet);
    const first = await fleet.orderUntil(host, 'order-first', isAnswered);
    t.is(first.result, 'answered');

    const before = commitsOf(fleet);
    const startedAtMs = performance.now();
    const flood: Promise<TestReply>[] = [];
    const resends: Promise<TestReply>[] = [];
    for (let index = 0; index < floodCalls; index += 1) {
      flood.push(fleet.order(host, `order-${index}`));
      if (index > floodCalls / 2 && index % 20 === 0) {
        resends.push(fleet.resend(host, 'order-first'));
      }
      await delay(floodIntervalMs);
    }
    const replies = await Promise.all(flood);
    const elapsedMs = Math.round(performance.now() - startedAtMs);
    const committed = commitsOf(fleet) - before;
    for (const resent of await Promise.all(resends)) {
      t.deepEqual(resent, first, 'a resend gets its stored answer');
    }

    let answered = 0;
    for (const [index, { result, execution }] of replies.entries()) {
      const runs = fleet.backends.reduce(
        (sum, backend) => sum + (backend.executions().get(`order-${index}`) ?? 0),
        0,
      );
      if (execution === 'notRun') t.is(runs, 0, 'a refusal as not run is true');
      t.true(runs <= 1, 'no order runs twice');
      if (result === 'answered') answered += 1;
    }
    const refused = replies.filter(({ execution }) => execution === 'notRun').length;
    const wasted = committed - 2 * answered;
    t.log({ answered, refused, committed, wasted, elapsedMs, ends: countEnds(replies) });
    t.true(refused > floodCalls / 4, `calls are refused: ${refused}`);
    t.true((answered * 1000) / elapsedMs > leastAnsweredPerS, `calls are answered: ${answered}`);
    t.true(
      wasted <= refused * commitsPerRefusedCall,
      `${wasted} commits, ${refused} refused calls`,
    );
  });
}
