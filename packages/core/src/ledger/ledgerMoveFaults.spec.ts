import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import test from 'ava';

import { selectLedgerGroup } from './ledgerGroup.js';
import { findLedgerMoveFaults } from './ledgerMoveFaults.js';

interface DocumentOptions {
  readonly orderChange?: Record<string, unknown>;
  readonly earlierKinds?: readonly unknown[];
  readonly services?: Record<string, unknown>;
}

const browse = { id: 'browse', match: {}, rank: 'only', execution: 'idempotent', timeLimitMs: 1 };
const order = {
  id: 'order',
  match: { methods: ['POST'], pathPrefix: '/orders' },
  rank: 'only',
  execution: 'once',
  identity: { header: 'x-order' },
  ledgerGroups: ['north', 'south'],
  timeLimitMs: 1000,
};

function buildDocument({ orderChange = {}, earlierKinds = [], services = {} }: DocumentOptions) {
  const kinds = [...earlierKinds, { ...order, ...orderChange }, browse];
  const allServices = { shop: { hostNames: ['shop.test'], kinds }, ...services };
  const shiftCap = { stepPermille: 100, stepIntervalMs: 1000, maxShiftedCallsPerS: 10 };
  const traffic = Object.fromEntries(Object.keys(allServices).map((id) => [id, { shiftCap }]));
  const checked = checkDocument({
    format: 1,
    teams: [{ id: 'team', sections: ['*'], keys: [{ id: 'k', secret: '0123456789abcdef' }] }],
    network: {
      regions: [{ id: 'r', availabilityZones: ['z'] }],
      zoneDelayMs: 1,
      callerDelayMs: 1,
    },
    ranks: [{ id: 'only', targetMs: 100, floorPermille: 0 }],
    services: allServices,
    traffic,
  });
  if (checked.isErr()) throw new Error(checked.error.detail);
  return checked.value;
}

const before: SteeringDocument = buildDocument({});
const refund = {
  ...browse,
  id: 'refund',
  match: { methods: ['POST'], pathPrefix: '/orders/back' },
};
const prices = { ...browse, id: 'prices', match: { methods: ['GET'], pathPrefix: '/orders' } };
const serviceWithSameHostName = { hostNames: ['shop.test'], kinds: [browse] };

const cases: { change: string; after: SteeringDocument; paths: string[] }[] = [
  { change: 'no change', after: before, paths: [] },
  {
    change: 'the order of the ledger groups',
    after: buildDocument({ orderChange: { ledgerGroups: ['south', 'north'] } }),
    paths: [],
  },
  {
    change: 'target and time limit',
    after: buildDocument({ orderChange: { targetMs: 5, timeLimitMs: 9 } }),
    paths: [],
  },
  {
    change: 'an earlier kind that matches other calls',
    after: buildDocument({ earlierKinds: [prices] }),
    paths: [],
  },
  {
    change: 'another ledger group',
    after: buildDocument({ orderChange: { ledgerGroups: ['north', 'west'] } }),
    paths: ['services/shop/kinds/0/ledgerGroups'],
  },
  {
    change: 'another identity header',
    after: buildDocument({ orderChange: { identity: { header: 'x-other' } } }),
    paths: ['services/shop/kinds/0/identity/header'],
  },
  {
    change: 'another execution',
    after: buildDocument({ orderChange: { execution: 'single' } }),
    paths: ['services/shop/kinds/0/execution'],
  },
  {
    change: 'another name of the kind',
    after: buildDocument({ orderChange: { id: 'orders' } }),
    paths: ['services/shop/kinds'],
  },
  {
    change: 'another path of the kind',
    after: buildDocument({ orderChange: { match: { methods: ['POST'], pathPrefix: '/bulk' } } }),
    paths: ['services/shop/kinds/0/match'],
  },
  {
    change: 'an earlier kind that matches some of its calls',
    after: buildDocument({ earlierKinds: [refund] }),
    paths: ['services/shop/kinds/0/match'],
  },
  {
    change: 'the host name moved to another service',
    after: {
      ...before,
      services: { other: { ...before.services.shop!, ...serviceWithSameHostName } as never },
    },
    paths: ['services/other/hostNames/0'],
  },
];

for (const { change, after, paths } of cases) {
  test(`a document change is checked for identities that would move: ${change}`, (t) => {
    t.deepEqual(
      findLedgerMoveFaults(before, after).map((fault) => fault.path),
      paths,
    );
  });
}

test('the ledger group of an identity does not depend on the order of groups, and identities spread evenly', (t) => {
  const counts = new Map<string, number>();
  for (let index = 0; index < 3000; index += 1) {
    const key = { service: 'shop', kind: 'order', identity: `id-${index}` };
    const group = selectLedgerGroup(key, ['a', 'b', 'c']) ?? '';
    t.is(selectLedgerGroup(key, ['c', 'a', 'b']), group);
    counts.set(group, (counts.get(group) ?? 0) + 1);
  }
  for (const count of counts.values()) t.true(count > 850 && count < 1150);
});
