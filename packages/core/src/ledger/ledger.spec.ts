import type { BeginCommand, LedgerCommand } from '@buckthornlug/protocol/ledger/ledgerSchema.js';
import type { StoredAnswer } from '@buckthornlug/protocol/steering/ledgerTypes.js';
import test from 'ava';

import { defaultLedgerLimits } from './ledgerLimits.js';
import { createLedgerMachine } from './ledgerMachine.js';

const answer: StoredAnswer = { status: 201, headers: [['x-order', '7']], bodyBase64: 'b2s=' };

function begin(intentId: string, overrides: Partial<BeginCommand> = {}): BeginCommand {
  const key = { service: 'shop', kind: 'order', identity: 'a', requestDigest: 'd' };
  const holder = { hostId: `host-${intentId}`, incarnation: 1 };
  return { type: 'begin', key, intentId, holder, atMs: 1000, deadlineAtMs: 5000, ...overrides };
}

function finish(intentId: string, outcome: 'answered' | 'notRun' | 'unknown'): LedgerCommand {
  if (outcome === 'answered') {
    return { type: 'finish', intentId, outcome: { outcome, answer }, atMs: 2000 };
  }
  return { type: 'finish', intentId, outcome: { outcome }, atMs: 2000 };
}

const retire = (nowMs: number): LedgerCommand => ({ type: 'retire', nowMs });
const keyWithOtherDigest = {
  service: 'shop',
  kind: 'order',
  identity: 'a',
  requestDigest: 'other',
};

/** Commands in log order, with the expected replies. */
const cases: { title: string; commands: LedgerCommand[]; replies: string[] }[] = [
  {
    title: 'a resend gets the stored answer',
    commands: [begin('x'), finish('x', 'answered'), begin('y')],
    replies: ['run', 'recorded', 'replay'],
  },
  {
    title: 'a resend is answered as running while the first attempt is open',
    commands: [begin('x'), begin('y')],
    replies: ['run', 'running'],
  },
  {
    title: 'a repeated begin command of the same intent gets the same permission to run',
    commands: [begin('x'), begin('x')],
    replies: ['run', 'run'],
  },
  {
    title: 'a not-run outcome frees the identity and cancels its intent',
    commands: [begin('x'), finish('x', 'notRun'), begin('y'), begin('x')],
    replies: ['run', 'recorded', 'run', 'refused'],
  },
  {
    title: 'a late duplicate of a not-run outcome does not affect the next intent',
    commands: [begin('x'), finish('x', 'notRun'), begin('y'), finish('x', 'notRun'), begin('z')],
    replies: ['run', 'recorded', 'run', 'recorded', 'running'],
  },
  {
    title: 'another request under the same identity is refused in each state',
    commands: [
      begin('x'),
      begin('y', { key: keyWithOtherDigest }),
      finish('x', 'unknown'),
      begin('y', { key: keyWithOtherDigest }),
    ],
    replies: ['run', 'otherRequest', 'recorded', 'otherRequest'],
  },
  {
    title: 'an outcome becomes unknown after its deadline, and a late answer is still recorded',
    commands: [begin('x'), begin('y', { atMs: 9000 }), finish('x', 'answered'), begin('z')],
    replies: ['run', 'unknown', 'recorded', 'replay'],
  },
  {
    title: 'a command of a restarted holder makes its earlier intent unknown',
    commands: [begin('x'), begin('y', { holder: { hostId: 'host-x', incarnation: 2 } })],
    replies: ['run', 'unknown'],
  },
  {
    title: 'a lost holder makes its open intents unknown, but not those of a later incarnation',
    commands: [
      begin('x', { holder: { hostId: 'host-x', incarnation: 2 } }),
      { type: 'loseHolder', hostId: 'host-x', maxIncarnation: 1 },
      begin('y'),
      { type: 'loseHolder', hostId: 'host-x', maxIncarnation: 2 },
      begin('y'),
    ],
    replies: ['run', 'lost', 'running', 'lost', 'unknown'],
  },
  {
    title: 'a begin command that arrives after the cancellation of its intent is refused',
    commands: [{ type: 'cancel', intentId: 'x', beganAtMs: 1000 }, begin('x'), begin('y')],
    replies: ['cancelled', 'refused', 'run'],
  },
  {
    title: 'a begin command as old as an expired cancellation is refused',
    commands: [
      { type: 'cancel', intentId: 'x', beganAtMs: 1000 },
      retire(1001 + defaultLedgerLimits.maxBeginAgeMs),
      begin('x'),
    ],
    replies: ['cancelled', 'retired', 'refused'],
  },
  {
    title: 'a retire command makes overdue intents unknown',
    commands: [begin('x'), retire(7000), begin('y')],
    replies: ['run', 'retired', 'unknown'],
  },
];

for (const { title, commands, replies } of cases) {
  test(title, (t) => {
    const machine = createLedgerMachine();
    const seen = commands.map((command, index) => machine.apply(command, index + 1));
    t.deepEqual(
      seen.map((reply) => reply.reply),
      replies,
    );
  });
}

test('the oldest answer is evicted first, and its identity still refuses to run', (t) => {
  const machine = createLedgerMachine({ ...defaultLedgerLimits, maxAnswers: 1 });
  const secondKey = { service: 'shop', kind: 'order', identity: 'b', requestDigest: 'd' };
  machine.apply(begin('x'), 1);
  machine.apply(finish('x', 'answered'), 2);
  machine.apply(begin('y', { key: secondKey }), 3);
  machine.apply(finish('y', 'answered'), 4);
  t.deepEqual(machine.apply(begin('z'), 5), { reply: 'answerNotKept' });
  t.deepEqual(machine.apply(begin('z', { key: secondKey }), 6), { reply: 'replay', answer });
});

test('new work is refused at the limit of identities', (t) => {
  const machine = createLedgerMachine({ ...defaultLedgerLimits, maxIdentities: 1 });
  const secondKey = { service: 'shop', kind: 'order', identity: 'b', requestDigest: 'd' };
  machine.apply(begin('x'), 1);
  const reply = machine.apply(begin('y', { key: secondKey }), 2);
  t.deepEqual(reply, { reply: 'refused', reason: 'full' });
});

test('one retire command advances the clock by a bounded step only', (t) => {
  const machine = createLedgerMachine();
  machine.apply(retire(1000), 1);
  machine.apply(begin('x'), 2);
  machine.apply(finish('x', 'answered'), 3);
  machine.apply(retire(1000 + 10 * defaultLedgerLimits.identityRetentionMs), 4);
  t.is(machine.apply(begin('y'), 5).reply, 'replay');
});

test('identities opened before the clock was set are stored for their whole retention', (t) => {
  const machine = createLedgerMachine();
  const startMs = 1_796_000_000_000;
  const times = { atMs: startMs, deadlineAtMs: startMs + 5000 };
  t.is(machine.apply(begin('x', times), 1).reply, 'run');
  t.like(machine.apply(retire(startMs + 10), 2), { reply: 'retired', identities: 0 });
  t.is(machine.apply(begin('y', times), 3).reply, 'running');
  t.is(machine.apply(finish('x', 'answered'), 4).reply, 'recorded');
  t.is(machine.apply(begin('z', times), 5).reply, 'replay');
});
