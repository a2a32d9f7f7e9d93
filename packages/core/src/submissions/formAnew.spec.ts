import type { FormAnewBody } from '@buckthornlug/protocol/admin/formAnewSchema.js';
import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import { splitSections } from '@buckthornlug/protocol/document/sections.js';
import test from 'ava';

import { createControlMachine, type ControlMachine } from './controlMachine.js';
import { signFormAnewRequest } from './formAnewSignature.js';
import type { FormationReply, GiveUpOutcome } from './formationRegistry.js';
import { signSubmission, verifySubmission } from './submissionSignature.js';
import type { SubmissionAuthority } from './submissionTypes.js';

const secrets = { all: 'secret-of-team-all', shop: 'secret-of-team-shop' };
const groupId = 'ledger-north';

const document = checkDocument({
  format: 1,
  teams: [
    { id: 'all', sections: ['*'], keys: [{ id: 'k1', secret: secrets.all }] },
    { id: 'shop', sections: ['services/*'], keys: [{ id: 'k1', secret: secrets.shop }] },
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
        { id: 'order', match: {}, rank: 'urgent', execution: 'idempotent', timeLimitMs: 750 },
      ],
    },
  },
  traffic: {
    shop: { shiftCap: { stepPermille: 300, stepIntervalMs: 1000, maxShiftedCallsPerS: 50 } },
  },
})._unsafeUnwrap();

function register(machine: ControlMachine, formationId: string): void {
  const formation = { groupId, formationId, voters: [`a/${formationId}`] };
  machine.apply({ type: 'registerFormation', formation }, 1);
}

/** Creates a machine with one registered formation and, if requested, a document. */
function createMachineWithFormation(hasDocument: boolean): ControlMachine {
  const machine = createControlMachine(verifySubmission);
  register(machine, 'first');
  if (!hasDocument) return machine;
  const sections = Object.fromEntries(splitSections(document));
  const baseVersions = Object.fromEntries(Object.keys(sections).map((name) => [name, 0]));
  const body = { submissionId: 'bootstrap', team: 'all', keyId: 'k1', baseVersions, sections };
  const submission = signSubmission(body, secrets.all);
  machine.apply({ type: 'submission', submission, authority: 'cluster' }, 1);
  return machine;
}

/** Fields of a request when it is signed, and fields altered after that. */
interface RequestOptions {
  readonly signed?: Partial<FormAnewBody>;
  readonly altered?: Partial<FormAnewBody>;
  readonly secret?: string;
  readonly authority?: SubmissionAuthority;
}

function giveUp(machine: ControlMachine, options: RequestOptions): string {
  const { signed, altered, secret = secrets.all, authority = 'team' } = options;
  const body: FormAnewBody = {
    request: 'formAnew',
    team: 'all',
    keyId: 'k1',
    groupId,
    lostId: 'first',
    acceptLoss: true,
    ...signed,
  };
  const request = { ...signFormAnewRequest(body, secret), ...altered };
  const reply = machine.apply({ type: 'giveUpFormation', request, authority }, 1) as GiveUpOutcome;
  return reply.givenUp ? 'given up' : reply.failure.code;
}

function registeredFormationId(machine: ControlMachine): string | undefined {
  const reply = machine.apply({ type: 'findFormation', groupId }, 1) as FormationReply;
  return reply.formation?.formationId;
}

const requests: [what: string, hasDocument: boolean, wanted: RequestOptions, heard: string][] = [
  ['signed by the team that owns every section', true, {}, 'given up'],
  ['signed with a wrong secret', true, { secret: 'another-secret' }, 'BL2006'],
  ['of an unknown team', true, { signed: { team: 'none' } }, 'BL2006'],
  ['of an unknown key', true, { signed: { keyId: 'k2' } }, 'BL2006'],
  [
    'of a team that owns only some sections',
    true,
    { signed: { team: 'shop' }, secret: secrets.shop },
    'BL2004',
  ],
  ['with the team changed', true, { signed: { team: 'shop' }, altered: { team: 'all' } }, 'BL2006'],
  ['with the group changed', true, { signed: { groupId: 'l-2' }, altered: { groupId } }, 'BL2006'],
  [
    'with the lost formation changed',
    true,
    { signed: { lostId: 'none' }, altered: { lostId: 'first' } },
    'BL2006',
  ],
  ['of another formation', true, { signed: { lostId: 'second' } }, 'BL5009'],
  ['of another group', true, { signed: { groupId: 'l-2' } }, 'BL5009'],
  ['with a cluster key', true, { secret: 'cluster-secret', authority: 'cluster' }, 'BL2006'],
  ['with a cluster key before any document', false, { authority: 'cluster' }, 'given up'],
  ['with the key of a team before any document', false, {}, 'BL2006'],
];

for (const [description, hasDocument, options, expected] of requests) {
  test(`a formation is given up only on an authorized request; a request ${description}: ${expected}`, (t) => {
    const machine = createMachineWithFormation(hasDocument);
    t.is(giveUp(machine, options), expected);
    t.is(registeredFormationId(machine), expected === 'given up' ? undefined : 'first');
  });
}

test('a resent request gets the same reply and does not give up a later formation', (t) => {
  const machine = createMachineWithFormation(true);
  t.is(giveUp(machine, {}), 'given up');
  t.is(giveUp(machine, {}), 'given up', 'before the group is formed again');
  register(machine, 'second');
  const restored = createControlMachine(verifySubmission);
  restored.restore(structuredClone(machine.snapshot()));
  t.is(
    giveUp(restored, {}),
    'given up',
    'after the group is formed again, restored from a snapshot',
  );
  t.is(registeredFormationId(restored), 'second');
  t.is(giveUp(restored, { signed: { lostId: 'second' } }), 'given up');
  t.is(registeredFormationId(restored), undefined);
});

test('a resend without a valid signature does not get the first answer', (t) => {
  const machine = createMachineWithFormation(true);
  t.is(giveUp(machine, {}), 'given up');
  t.is(giveUp(machine, { secret: 'another-secret' }), 'BL2006');
});
