import { compileTable } from '@buckthornlug/core/table/table.js';
import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import { lookupReplySchema } from '@buckthornlug/protocol/lookup/lookupSchema.js';
import { readFile } from 'node:fs/promises';
import test from 'ava';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext, HostRecord } from '../runtime/hostTypes.js';
import { createLookupAnswers } from './lookupAnswers.js';

const document = checkDocument(
  JSON.parse(await readFile('examples/demo.json', 'utf8')),
)._unsafeUnwrap();
const table = compileTable(document);

function record(hostId: string, state: HostRecord['state'], incarnation = 1): HostRecord {
  const endpoint = { address: '127.0.0.1', port: 7001 };
  return {
    hostId,
    region: 'lagos',
    availabilityZone: 'lagos-a',
    roles: ['entry'],
    internal: endpoint,
    callers: endpoint,
    admin: endpoint,
    incarnation,
    state,
    documentVersion: 1,
    shiftRevision: 0,
  };
}

const histories: readonly {
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
    title: 'leaves',
    states: [
      ['alive', 1],
      ['leaving', 1],
    ],
    isNamed: false,
  },
  {
    title: 'leaves and falls silent',
    states: [
      ['leaving', 1],
      ['suspected', 1],
    ],
    isNamed: false,
  },
  {
    title: 'left and comes back',
    states: [
      ['leaving', 1],
      ['alive', 2],
    ],
    isNamed: true,
  },
];

for (const { title, states, isNamed } of histories) {
  test(`a host that ${title} ${isNamed ? 'is' : 'is not'} named to callers`, (t) => {
    let hosts: HostRecord[] = [];
    const parts = {
      table: { current: () => table },
      document: { current: () => ({ version: 1, document }) },
      membership: { hosts: () => hosts },
      poolOwner: () => undefined,
      findCallerZone: () => 'lagos-a',
    } as unknown as HostParts;
    const context = { settings: { availabilityZone: 'lagos-a' } } as unknown as HostContext;
    const answers = createLookupAnswers(context, parts);
    for (const [state, incarnation] of states) {
      hosts = [record('stays', 'alive'), record('changes', state, incarnation)];
      answers.invalidate();
    }
    const answer = answers.answer('parts-desk', '127.0.0.1')._unsafeUnwrap();
    const named = lookupReplySchema.parse(JSON.parse(answer.body)).hosts.map((each) => each.hostId);
    t.is(named.includes('changes'), isNamed);
    t.true(named.includes('stays'));
  });
}
