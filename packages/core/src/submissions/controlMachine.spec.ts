import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import { splitSections } from '@buckthornlug/protocol/document/sections.js';
import type { Submission } from '@buckthornlug/protocol/submissions/submissionSchema.js';
import test from 'ava';

import { createControlMachine, type ControlMachine } from './controlMachine.js';
import { signSubmission, verifySubmission } from './submissionSignature.js';
import type { SubmissionAuthority, SubmissionOutcome } from './submissionTypes.js';

const secrets = { all: 'secret-of-team-all', shop: 'secret-of-team-shop' };

function sampleSections(): Record<string, unknown> {
  const document = checkDocument({
    format: 1,
    teams: [
      { id: 'all', sections: ['*'], keys: [{ id: 'k1', secret: secrets.all }] },
      { id: 'shop', sections: ['traffic/shop'], keys: [{ id: 'k1', secret: secrets.shop }] },
    ],
    network: {
      regions: [{ id: 'north', availabilityZones: ['north-a'] }],
      zoneDelayMs: 3,
      callerDelayMs: 1,
    },
    ranks: [{ id: 'urgent', targetMs: 250, floorPermille: 100 }],
    services: {
      shop: {
        hostNames: ['shop.example'],
        kinds: [
          {
            id: 'order',
            match: {},
            rank: 'urgent',
            execution: 'once',
            identity: { header: 'x-order' },
            ledgerGroups: ['ledger-north'],
            timeLimitMs: 750,
          },
        ],
      },
    },
    traffic: {
      shop: { shiftCap: { stepPermille: 300, stepIntervalMs: 1000, maxShiftedCallsPerS: 50 } },
    },
  })._unsafeUnwrap();
  return Object.fromEntries(splitSections(document));
}

/** Fields of a submission that a test sets. */
interface SubmissionOptions {
  readonly id?: string;
  readonly team?: keyof typeof secrets;
  readonly secret?: string;
  readonly base: Record<string, number>;
  readonly sections: Record<string, unknown>;
}

function buildSubmission({
  id = 'submission-1',
  team = 'all',
  secret,
  base,
  sections,
}: SubmissionOptions): Submission {
  const body = { submissionId: id, team, keyId: 'k1', baseVersions: base, sections };
  return signSubmission(body, secret ?? secrets[team]);
}

function submit(
  machine: ControlMachine,
  options: SubmissionOptions,
  authority: SubmissionAuthority = 'team',
): SubmissionOutcome {
  const command = { type: 'submission', submission: buildSubmission(options), authority } as const;
  return machine.apply(command, 1) as SubmissionOutcome;
}

function zeroVersions(sections: Record<string, unknown>): Record<string, number> {
  return Object.fromEntries(Object.keys(sections).map((name) => [name, 0]));
}

function createMachineWithDocument(): ControlMachine {
  const machine = createControlMachine(verifySubmission);
  const sections = sampleSections();
  submit(machine, { id: 'bootstrap', base: zeroVersions(sections), sections }, 'cluster');
  return machine;
}

function resultOf(outcome: SubmissionOutcome): string {
  return outcome.accepted ? `version ${outcome.reply.version}` : outcome.failure.code;
}

const traffic = (stepPermille: number) => ({
  shiftCap: { stepPermille, stepIntervalMs: 1000, maxShiftedCallsPerS: 50 },
});

const oneTrafficChange = (id: string, stepPermille: number): SubmissionOptions => ({
  id,
  base: { 'traffic/shop': 1 },
  sections: { 'traffic/shop': traffic(stepPermille) },
});

const shopWithLedgerGroups = (ledgerGroups: string[]) => {
  const shop = structuredClone(sampleSections()['services/shop']) as {
    kinds: { ledgerGroups: string[] }[];
  };
  for (const kind of shop.kinds) kind.ledgerGroups = ledgerGroups;
  return shop;
};

const submissionCases: [name: string, wanted: SubmissionOptions][] = [
  ['a valid change', oneTrafficChange('valid-change', 100)],
  ['a change by the owning team', { ...oneTrafficChange('owned-change', 100), team: 'shop' }],
  ['a wrong key', { ...oneTrafficChange('wrong-key', 100), secret: 'not-the-secret-of-it' }],
  [
    'a section of another team',
    { id: 'foreign1', team: 'shop', base: { ranks: 1 }, sections: { ranks: [] } },
  ],
  ['an old base version', { ...oneTrafficChange('old-base', 100), base: { 'traffic/shop': 0 } }],
  ['no base version', { ...oneTrafficChange('no-base-1', 100), base: {} }],
  ['wrong fields', { id: 'wrong-fields', base: { ranks: 1 }, sections: { ranks: [{ id: 'X' }] } }],
  [
    'contradicting sections',
    { id: 'contradiction', base: { 'traffic/shop': 1 }, sections: { 'traffic/shop': null } },
  ],
  ['an unknown section', { id: 'unknown-1', base: { colours: 0 }, sections: { colours: [] } }],
  [
    'a moved ledger',
    {
      id: 'moved-ledger',
      base: { 'services/shop': 1 },
      sections: { 'services/shop': shopWithLedgerGroups(['ledger-south']) },
    },
  ],
];

test('each refused submission reports its code and paths and does not change the document', (t) => {
  for (const [name, options] of submissionCases) {
    const machine = createMachineWithDocument();
    const outcome = submit(machine, options);
    t.snapshot(outcome.accepted ? resultOf(outcome) : outcome.failure, name);
    t.is(machine.documents.currentVersion(), outcome.accepted ? 2 : 1);
  }
});

test('the first submission needs a cluster key, and later ones cannot use it', (t) => {
  const machine = createControlMachine(verifySubmission);
  const sections = sampleSections();
  const first = { base: zeroVersions(sections), sections };
  t.is(resultOf(submit(machine, { ...first, id: 'no-cluster' })), 'BL2006');
  t.is(resultOf(submit(machine, { ...first, id: 'with-cluster' }, 'cluster')), 'version 1');
  const later = { ...oneTrafficChange('cluster-later', 50), secret: 'a-cluster-key-secret' };
  t.is(resultOf(submit(machine, later, 'cluster')), 'BL2006');
});

test('of two submissions based on the same version one is accepted and the other gets the current version', (t) => {
  const machine = createMachineWithDocument();
  t.is(resultOf(submit(machine, oneTrafficChange('race-left', 100))), 'version 2');
  const refused = submit(machine, oneTrafficChange('race-right', 200));
  t.is(resultOf(refused), 'BL2005');
  t.regex(refused.accepted ? '' : refused.failure.detail, /version 2/);
});

test('submissions that change different sections do not conflict', (t) => {
  const machine = createMachineWithDocument();
  t.is(resultOf(submit(machine, oneTrafficChange('traffic-1', 100))), 'version 2');
  const ranks = [{ id: 'urgent', targetMs: 300, floorPermille: 100 }];
  t.is(
    resultOf(submit(machine, { id: 'ranks-01', base: { ranks: 1 }, sections: { ranks } })),
    'version 3',
  );
});

test('a resend gets the first answer after a restore, and other content under the same id is refused', (t) => {
  const machine = createMachineWithDocument();
  const first = submit(machine, oneTrafficChange('resent-01', 100));
  const refused = submit(machine, oneTrafficChange('resent-02', 200));
  const restored = createControlMachine(verifySubmission);
  restored.restore(structuredClone(machine.snapshot()));
  t.deepEqual(submit(restored, oneTrafficChange('resent-01', 100)), first);
  t.deepEqual(submit(restored, oneTrafficChange('resent-02', 200)), refused);
  t.is(resultOf(submit(restored, oneTrafficChange('resent-01', 300))), 'BL2007');
  t.is(restored.documents.currentVersion(), 2);
});

const shopWithKinds = (change: (kind: Record<string, unknown>) => Record<string, unknown>[]) => {
  const shop = structuredClone(sampleSections()['services/shop']) as {
    kinds: Record<string, unknown>[];
  };
  shop.kinds = shop.kinds.flatMap(change);
  return shop;
};
const catchAllKind = {
  id: 'browse',
  match: {},
  rank: 'urgent',
  execution: 'idempotent',
  timeLimitMs: 9,
};

/** Content of the service in each submission; null removes it. */
const kindChanges: [what: string, contents: (object | null)[], last: string][] = [
  ['removed from its service', [shopWithKinds(() => [catchAllKind])], 'BL2011'],
  [
    'made idempotent',
    [shopWithKinds((kind) => [{ ...kind, execution: 'idempotent', ledgerGroups: [] }])],
    'BL2011',
  ],
  [
    'changed to another identity header',
    [shopWithKinds((kind) => [{ ...kind, identity: { header: 'x-else' } }])],
    'BL2011',
  ],
  [
    'preceded by a kind that matches its calls',
    [shopWithKinds((kind) => [catchAllKind, kind])],
    'BL2011',
  ],
  [
    'removed with its service, then added again with another ledger group',
    [null, shopWithLedgerGroups(['l-2'])],
    'BL2011',
  ],
  [
    'removed with its service, then added again with another identity header',
    [null, shopWithKinds((kind) => [{ ...kind, identity: { header: 'x-else' } }])],
    'BL2011',
  ],
  [
    'removed with its service, which is then added again without it',
    [null, shopWithKinds(() => [catchAllKind])],
    'BL2011',
  ],
  [
    'removed with its service, then added again unchanged',
    [null, shopWithKinds((kind) => [kind])],
    'version 3',
  ],
];

for (const [description, contents, expected] of kindChanges) {
  test(`a once-only kind is ${description}: ${expected}`, (t) => {
    let machine = createMachineWithDocument();
    const answers = contents.map((content, index) => {
      const restored = createControlMachine(verifySubmission);
      restored.restore(structuredClone(machine.snapshot()));
      machine = restored;
      const base = contents[index - 1] === null ? 0 : 1;
      const trafficContent = content === null ? null : traffic(300);
      return resultOf(
        submit(machine, {
          id: `kind-change-${index}`,
          base: { 'services/shop': base, 'traffic/shop': base },
          sections: { 'services/shop': content, 'traffic/shop': trafficContent },
        }),
      );
    });
    t.is(answers.at(-1), expected);
  });
}

test('a shift step is committed only for the document version in force and within its cap', (t) => {
  const machine = createMachineWithDocument();
  const step = (documentVersion: number, movedPermille: number) => {
    const unit = { service: 'shop', scope: 'region', place: 'north' } as const;
    const command = { ...unit, documentVersion, number: 1, movedPermille };
    const reply = machine.apply({ type: 'shiftStep', step: command }, 1);
    return 'committed' in reply && reply.committed;
  };
  t.deepEqual([step(2, 100), step(1, 301), step(1, 300)], [false, false, true]);
});
