import { isDeepStrictEqual } from 'node:util';

import test from 'ava';
import fc from 'fast-check';

import { samePlainData } from './samePlainData.js';

const cases = [
  { what: 'scalars', left: 1, right: 1, same: true },
  { what: 'a number and its text', left: 1, right: '1', same: false },
  { what: 'fields in another order', left: { a: 1, b: [2] }, right: { b: [2], a: 1 }, same: true },
  {
    what: 'an undefined and an absent field',
    left: { a: undefined },
    right: { b: 1 },
    same: false,
  },
  { what: 'lists in another order', left: [1, 2], right: [2, 1], same: false },
  { what: 'a list and an object', left: [], right: {}, same: false },
  { what: 'null and an object', left: null, right: {}, same: false },
  { what: 'not a number, twice', left: { a: NaN }, right: { a: NaN }, same: true },
];

for (const { what, left, right, same } of cases) {
  test(`${what} are ${same ? '' : 'not '}the same`, (t) => {
    t.is(samePlainData(left, right), same);
    t.is(samePlainData(right, left), same);
  });
}

test('it agrees with the comparison of Node.js on any JSON', (t) => {
  fc.assert(
    fc.property(fc.jsonValue(), fc.jsonValue(), (left, right) => {
      const copy: unknown = JSON.parse(JSON.stringify(left));
      return (
        samePlainData(left, right) === isDeepStrictEqual(left, right) &&
        samePlainData(JSON.parse(JSON.stringify(copy)), copy)
      );
    }),
  );
  t.pass();
});
