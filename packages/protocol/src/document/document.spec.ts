import test from 'ava';

import type { ResultCode } from '../results/resultCodes.js';
import { checkDocument } from './document.js';
import { coversSection, joinSections, splitSections } from './sections.js';

function sampleDocument(): Record<string, unknown> {
  return {
    format: 1,
    teams: [{ id: 'all', sections: ['*'], keys: [{ id: 'key-1', secret: '0123456789abcdef' }] }],
    network: {
      regions: [
        { id: 'north', availabilityZones: ['north-a', 'north-b'] },
        { id: 'south', availabilityZones: ['south-a'] },
      ],
      links: [{ from: 'north', to: 'south', oneWayDelayMs: 20, linkBytesPerS: 1e8 }],
      zoneDelayMs: 3,
      callerDelayMs: 1,
    },
    ranks: [
      { id: 'urgent', targetMs: 250, floorPermille: 300 },
      { id: 'bulk', targetMs: 3000, floorPermille: 100 },
    ],
    clientBlocks: { north: [{ block: '127.40.0.0/16', availabilityZone: 'north-a' }] },
    services: {
      shop: {
        hostNames: ['shop.example'],
        kinds: [
          { id: 'page', match: {}, rank: 'urgent', execution: 'idempotent', timeLimitMs: 750 },
        ],
      },
    },
    traffic: {
      shop: { shiftCap: { stepPermille: 100, stepIntervalMs: 1000, maxShiftedCallsPerS: 50 } },
    },
  };
}

function sampleWithValue(path: string, value: unknown): unknown {
  const document = sampleDocument();
  const parts = path.split('/');
  const last = parts.pop() ?? '';
  let parent = document;
  for (const part of parts) parent = parent[part] as Record<string, unknown>;
  parent[last] = value;
  return document;
}

/** Rows: path of the changed field, its new value, expected result code, expected fault path. */
const invalidDocuments: readonly (readonly [string, unknown, ResultCode, string])[] = [
  ['format', 2, 'BL2002', 'format'],
  ['ranks', 'urgent', 'BL2002', 'ranks'],
  ['unknownSection', {}, 'BL2002', ''],
  ['network/zoneDelayMs', -1, 'BL2002', 'network/zoneDelayMs'],
  [
    'traffic/shop/shiftCap/maxShiftedCallsPerS',
    0,
    'BL2002',
    'traffic/shop/shiftCap/maxShiftedCallsPerS',
  ],
  ['traffic/shop/shiftCap/stepPermille', 0, 'BL2002', 'traffic/shop/shiftCap/stepPermille'],
  ['clientBlocks/north/0/block', '127.40.0.0', 'BL2002', 'clientBlocks/north/0/block'],
  [
    'clientBlocks/north/0/availabilityZone',
    'west-a',
    'BL2003',
    'clientBlocks/north/0/availabilityZone',
  ],
  ['network/links/0/to', 'west', 'BL2003', 'network/links/0/to'],
  ['network/links/0/to', 'north', 'BL2003', 'network/links/0'],
  ['network/regions/1/id', 'north', 'BL2003', 'network/regions/1'],
  ['network/regions/1/availabilityZones', ['north-a'], 'BL2003', 'network/availabilityZones/2'],
  ['ranks/0/floorPermille', 950, 'BL2003', 'ranks'],
  ['services/shop/kinds/0/rank', 'low', 'BL2003', 'services/shop/kinds/0/rank'],
  ['services/shop/kinds/0/execution', 'once', 'BL2003', 'services/shop/kinds/0/identity'],
  ['traffic/shop/drainedRegions', ['west'], 'BL2003', 'traffic/shop/drainedRegions/0'],
  ['traffic/shop/drainedZones', ['west-a'], 'BL2003', 'traffic/shop/drainedZones/0'],
  ['traffic/shop/weights', { west: 5 }, 'BL2003', 'traffic/shop/weights/west'],
  ['traffic', {}, 'BL2003', 'traffic/shop'],
];

for (const [path, value, code, faultPath] of invalidDocuments) {
  test(`${path} set to ${JSON.stringify(value)} is refused with ${code} at ${faultPath}`, (t) => {
    const checked = checkDocument(sampleWithValue(path, value));
    t.true(checked.isErr());
    if (checked.isOk()) return;
    t.is(checked.error.code, code);
    const paths = checked.error.faults?.map((fault) => fault.path) ?? [];
    t.true(paths.includes(faultPath), paths.join(', '));
  });
}

test('all faults of a document are reported together', (t) => {
  const document = sampleWithValue('network/links/0/to', 'west') as Record<string, unknown>;
  document.traffic = {};
  const checked = checkDocument(document);
  t.is(checked.isErr() ? checked.error.faults?.length : 0, 2);
});

test('joining the sections of a valid document restores the document', (t) => {
  const document = checkDocument(sampleDocument())._unsafeUnwrap();
  const joined = checkDocument(joinSections(splitSections(document)))._unsafeUnwrap();
  t.deepEqual(joined, document);
});

test('a section pattern of a team matches by exact name or by prefix', (t) => {
  t.true(coversSection('services/*', 'services/shop'));
  t.true(coversSection('*', 'teams'));
  t.true(coversSection('network', 'network'));
  t.false(coversSection('services/shop', 'services/shop-two'));
});
