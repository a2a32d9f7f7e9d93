import type { RegisteredBackend } from '@buckthornlug/protocol/registry/registrySchema.js';
import test from 'ava';

import { PreferredBackends } from './preferredBackends.js';
import { TrackedBackend, type Distance } from './trackedBackend.js';
import { sampleBackend } from './sampleBackend.js';

const spread = { activeObjects: 0, regionShare: 1 };
const keys = ['object-1', 'object-2', 'object-3'];

/** Backend servers of three places; `onName` is told each time the name of one is read. */
function backendsOf(onIdRead: () => void): TrackedBackend[] {
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
        onIdRead();
        return `b-${index}`;
      },
    });
    const region = distance === 'far' ? 'south' : 'north';
    return new TrackedBackend(record, region, distance, 0, 0);
  });
}

function selectedIds(preferred: PreferredBackends): string[][] {
  return keys.map((key) =>
    preferred.select(key, spread, () => true).map(({ backend }) => backend.record.backendId),
  );
}

test('a change in one place keeps the orders of the other places', (t) => {
  let namesRead = 0;
  const all = backendsOf(() => {
    namesRead += 1;
  });
  const before = new PreferredBackends(all);
  selectedIds(before);
  const withoutOneFar = all.filter((backend) => backend !== all[2]);
  const uncached = selectedIds(new PreferredBackends(withoutOneFar));
  namesRead = 0;
  const after = selectedIds(new PreferredBackends(withoutOneFar, before));
  t.deepEqual(after, uncached);
  const chosen = after.flat().length;
  const farLeft = 3;
  t.is(namesRead, chosen + keys.length * farLeft, 'only the changed place is ordered anew');
});

test('what has not changed is not ordered anew', (t) => {
  let namesRead = 0;
  const all = backendsOf(() => {
    namesRead += 1;
  });
  const before = new PreferredBackends(all);
  const known = selectedIds(before);
  namesRead = 0;
  const after = selectedIds(new PreferredBackends([...all], before));
  t.deepEqual(after, known);
  t.is(namesRead, after.flat().length);
});
