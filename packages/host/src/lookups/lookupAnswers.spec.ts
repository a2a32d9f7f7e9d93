import type { MemberEntry } from '@buckthornlug/core/membership/membershipTypes.js';
import { compileTable } from '@buckthornlug/core/table/table.js';
import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import { lookupReplySchema } from '@buckthornlug/protocol/lookup/lookupSchema.js';
import { readFile } from 'node:fs/promises';
import test from 'ava';

import { createMemberView } from '../membership/memberView.js';
import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext, HostRecord } from '../runtime/hostTypes.js';
import { createPoolOwners } from '../slots/poolOwners.js';
import { createLookupAnswers } from './lookupAnswers.js';

const document = checkDocument(
  JSON.parse(await readFile('examples/demo.json', 'utf8')),
)._unsafeUnwrap();
const table = compileTable(document);

function createMemberEntry(
  hostId: string,
  state: HostRecord['state'],
  incarnation = 1,
): MemberEntry {
  const endpoint = { address: '127.0.0.1', port: 7001 };
  const place = { region: 'lagos', availabilityZone: 'lagos-a', roles: ['entry' as const] };
  return {
    identity: { hostId, ...place, internal: endpoint, callers: endpoint, admin: endpoint },
    incarnation,
    refutation: 0,
    state,
    documentVersion: 1,
    shiftRevision: 0,
    changedAtMs: 0,
    suspicionEndsAtMs: 0,
    isSuspectedLocally: false,
    isReachable: true,
    hasReceivedIdentity: true,
  };
}

const scenarios: readonly {
  readonly title: string;
  readonly states: readonly (readonly [HostRecord['state'], number])[];
  readonly isNamed: boolean;
}[] = [
  { title: 'is alive', states: [['alive', 1]], isNamed: true },
  {
    title: 'is suspected',
    states: [
      ['alive', 1],
      ['suspected', 1],
    ],
    isNamed: true,
  },
  {
    title: 'is leaving',
    states: [
      ['alive', 1],
      ['leaving', 1],
    ],
    isNamed: false,
  },
  {
    title: 'is suspected while leaving',
    states: [
      ['leaving', 1],
      ['suspected', 1],
    ],
    isNamed: false,
  },
  {
    title: 'is alive again after leaving',
    states: [
      ['leaving', 1],
      ['alive', 2],
    ],
    isNamed: true,
  },
];

for (const { title, states, isNamed } of scenarios) {
  test(`a host that ${title} ${isNamed ? 'is' : 'is not'} eligible for look-ups and pools`, (t) => {
    const stays = createMemberEntry('stays', 'alive');
    let members = [stays];
    let revision = 0;
    const membership = createMemberView({
      members: () => members,
      ownEntry: () => stays,
      revision: () => revision,
    });
    const parts = {
      table: { current: () => table },
      document: { current: () => ({ version: 1, document }) },
      membership,
      poolOwner: () => undefined,
      findCallerZone: () => 'lagos-a',
    } as unknown as HostParts;
    const settings = { hostId: 'asked', availabilityZone: 'lagos-a' };
    const context = { settings } as unknown as HostContext;
    const answers = createLookupAnswers(context, parts);
    const owners = createPoolOwners(context, parts);
    for (const [state, incarnation] of states) {
      members = [stays, createMemberEntry('changes', state, incarnation)];
      revision += 1;
      membership.refresh();
      answers.invalidate();
    }
    const answer = answers.answer('parts-desk', '127.0.0.1')._unsafeUnwrap();
    const named = lookupReplySchema.parse(JSON.parse(answer.body)).hosts.map((each) => each.hostId);
    t.is(named.includes('changes'), isNamed);
    t.true(named.includes('stays'));
    t.is(owners.localOwner('parts-desk', ['stays']) === 'changes', isNamed);
  });
}
