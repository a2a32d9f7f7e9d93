import test from 'ava';

import { initialSplit, splitByHomeShare } from './initialSplit.js';

/** Shares rounded to permille. */
function permille(shares: Readonly<Record<string, number>>): Record<string, number> {
  return Object.fromEntries(
    Object.entries(shares).map(([region, share]) => [region, Math.round(share * 1000)]),
  );
}

const cases: readonly (readonly [string, Readonly<Record<string, number>>])[] = [
  ['a region with its fair part of the slots keeps all calls', { north: 24, south: 24, west: 24 }],
  ['a region with somewhat fewer slots keeps all calls', { north: 20, south: 24, west: 24 }],
  [
    'a region with few slots leaves calls in proportion to slots',
    { north: 6, south: 22, west: 44 },
  ],
  ['a region with no slots leaves all calls', { north: 0, south: 22, west: 44 }],
  ['a region that is not known leaves all calls', { south: 22, west: 44 }],
  ['the only region with slots keeps all calls', { north: 3, south: 0 }],
  ['without slots there is no split', { north: 0, south: 0 }],
  ['without regions there is no split', {}],
];

for (const [title, slots] of cases) {
  test(title, (t) => {
    t.snapshot(permille(initialSplit('north', new Map(Object.entries(slots)))));
  });
}

test('the order in which hosts know the regions does not change the split', (t) => {
  const slots: [string, number][] = [
    ['north', 6],
    ['south', 22],
    ['west', 44],
  ];
  t.deepEqual(
    initialSplit('north', new Map(slots)),
    initialSplit('north', new Map([...slots].reverse())),
  );
});

test('a region without weight gets none of the calls that leave', (t) => {
  const slots = new Map([
    ['north', 10],
    ['south', 10],
    ['west', 10],
  ]);
  const shares = splitByHomeShare('north', slots, 0.4, (region) => (region === 'west' ? 0 : 1));
  t.deepEqual(shares, { north: 0.4, south: 0.6 });
});
