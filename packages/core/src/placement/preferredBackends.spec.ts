import type { RegisteredBackend } from '@buckthornlug/protocol/registry/registrySchema.js';
import test from 'ava';

import { ObjectHomes } from './preferredBackends.js';
import { PlacedBackend, type Distance } from './trackedBackend.js';
import { sampleBackend } from './sampleBackend.js';

const plan = { seenObjects: 0, nearShare: 1 };
const keys = ['object-1', 'object-2', 'object-3'];

/** Backend servers of three places; `onName` is told each time the name of one is read. */
function backendsOf(onName: () => void): PlacedBackend[] {
  const places: readonly [Distance, string][] = [
    ['zone', 'north-a'],
    ['region', 'north-b'],
    ['far', 'south-a'],
  ];
  return Array.from({ length: 12 }, (_, index) => {
    const [distance, availabilityZone] = places[index % places.length]!;
    const record: RegisteredBackend = { ...sampleBackend().record, availabilityZone };
    Object.defineProperty(record, 'backendId', {
      get: () => {
        onName();
        return `b-${index}`;
      },
    });
    const region = distance === 'far' ? 'south' : 'north';
    return new PlacedBackend(record, region, distance, 0, 0);
  });
}

function homesOf(homes: ObjectHomes): string[][] {
  return keys.map((key) =>
    homes.of(key, plan, () => true).map(({ backend }) => backend.record.backendId),
  );
}

test('a change in one place keeps the orders of the other places', (t) => {
  let namesRead = 0;
  const all = backendsOf(() => {
    namesRead += 1;
  });
  const before = new ObjectHomes(all);
  homesOf(before);
  const withoutOneFar = all.filter((backend) => backend !== all[2]);
  const anew = homesOf(new ObjectHomes(withoutOneFar));
  namesRead = 0;
  const after = homesOf(new ObjectHomes(withoutOneFar, before));
  t.deepEqual(after, anew);
  const chosen = after.flat().length;
  const farLeft = 3;
  t.is(namesRead, chosen + keys.length * farLeft, 'only the changed place is ordered anew');
});

test('what has not changed is not ordered anew', (t) => {
  let namesRead = 0;
  const all = backendsOf(() => {
    namesRead += 1;
  });
  const before = new ObjectHomes(all);
  const known = homesOf(before);
  namesRead = 0;
  const after = homesOf(new ObjectHomes([...all], before));
  t.deepEqual(after, known);
  t.is(namesRead, after.flat().length);
});
