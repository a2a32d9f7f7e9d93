import type { LedgerHooks } from '@buckthornlug/host/runtime/hostParts.js';
import { failure } from '@buckthornlug/protocol/results/failure.js';
import type { LedgerKey, LedgerOutcome } from '@buckthornlug/protocol/steering/ledgerTypes.js';
import test from 'ava';
import { errAsync, okAsync } from 'neverthrow';

import { createTestDocument, inForce, testIdentityHeader } from '../fakes/testDocument.js';
import { startCallFleet, type CallFleet } from './callFleet.js';

let fleet: CallFleet;

test.before(async () => {
  fleet = await startCallFleet({
    hosts: [{ hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a' }],
    document: inForce(createTestDocument({ timeLimitMs: 500 })),
    backendHosts: [0],
  });
  fleet.hosts[0]!.parts.provide({ mayRetry: () => false });
});

test.after.always(() => fleet.stop());

/** A ledger in memory that notes what it is told. */
function useLedger(finishFails = false, found: 'free' | 'notKnown' = 'notKnown') {
  const keys: LedgerKey[] = [];
  const outcomes: LedgerOutcome[] = [];
  const ledger: LedgerHooks = {
    begin: (key) => {
      keys.push(key);
      const last = outcomes.at(-1);
      if (last?.outcome === 'answered') {
        return Promise.resolve({ decision: 'replay', answer: last.answer });
      }
      return Promise.resolve({ decision: 'run', intentId: 'intent-1', group: 'ledger-a' });
    },
    find: () => Promise.resolve(found),
    finish: (_intentId, outcome) => {
      if (finishFails) return errAsync(failure('BL9002', 'no quorum'));
      outcomes.push(outcome);
      return okAsync(undefined);
    },
  };
  fleet.hosts[0]!.parts.provide({ ledger });
  return { keys, outcomes };
}

function order(identity: string, body = 'one pallet') {
  return fleet.call(0, '/orders', {
    method: 'POST',
    body,
    headers: { [testIdentityHeader]: identity },
  });
}

function executionsOf(identity: string): number {
  return fleet.backends[0]!.executions().get(identity) ?? 0;
}

test.serial('a resend gets the whole first answer and runs nothing', async (t) => {
  fleet.backends[0]!.behave({ answerFault: 'none' });
  const { keys, outcomes } = useLedger();
  const first = await order('order-1');
  const second = await order('order-1');
  t.is(first.result, 'answered');
  t.is(second.body, first.body);
  t.is(executionsOf('order-1'), 1);
  t.is(outcomes.length, 1);
  t.deepEqual(keys[0], keys[1]);
});

test.serial('another body under the same identity has another digest', async (t) => {
  const { keys } = useLedger();
  await order('order-2', 'one pallet');
  await order('order-2', 'two pallets');
  t.not(keys[0]?.requestDigest, keys[1]?.requestDigest);
});

test.serial('an answer whose outcome cannot be committed is not given out', async (t) => {
  useLedger(true);
  const reply = await order('order-3');
  t.like(reply, { result: 'BL9002', execution: 'unknown' });
});

test.serial('a broken answer is committed as unknown and not repeated', async (t) => {
  const { outcomes } = useLedger();
  fleet.backends[0]!.behave({ answerFault: 'breaksBeforeHead' });
  const reply = await order('order-4');
  t.like(reply, { result: 'BL9002', execution: 'unknown' });
  t.is(executionsOf('order-4'), 1);
  t.deepEqual(outcomes, [{ outcome: 'unknown' }]);
});

test.serial('work that each backend server refused is committed as not run', async (t) => {
  const { outcomes } = useLedger();
  fleet.backends[0]!.behave({ answerFault: 'none', shedsAll: true });
  const reply = await order('order-5');
  t.like(reply, { result: 'BL3015', execution: 'notRun' });
  t.deepEqual(outcomes, [{ outcome: 'notRun' }]);
});

test.serial('an answer too large to keep is said to have run', async (t) => {
  const { outcomes } = useLedger();
  fleet.backends[0]!.behave({ shedsAll: false, answerBytes: 2 * 1024 * 1024 });
  const reply = await order('order-6');
  t.like(reply, { result: 'BL9003', execution: 'ran' });
  t.is(outcomes[0]?.outcome, 'answered');
});

/** Sends an order to a full pool whose ledger finds the state given. */
async function orderToFullPool(found: 'free' | 'notKnown') {
  useLedger(false, found);
  const { parts } = fleet.hosts[0]!;
  const { forecastAdmission } = parts;
  const refused = failure('BL3002', 'the pool is full');
  parts.provide({
    forecastAdmission: () => Promise.resolve({ failure: refused, end: () => undefined }),
  });
  const reply = await order(`order-${found}`);
  parts.provide({ forecastAdmission });
  return reply;
}

test.serial('a full pool says not run of work whose identity is free', async (t) => {
  t.like(await orderToFullPool('free'), { result: 'BL3002', execution: 'notRun' });
});

test.serial('a full pool does not say not run of work whose identity is not known', async (t) => {
  t.like(await orderToFullPool('notKnown'), { result: 'BL3002', execution: 'unknown' });
});
