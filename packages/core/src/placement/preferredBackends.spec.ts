import type { RegisteredBackend } from '@buckthornlug/protocol/registry/registrySchema.js';
import test from 'ava';

import { PreferredBackends } from './preferredBackends.js';
import { sampleBackend } from './sampleBackend.js';
import { TrackedBackend, type Distance } from './trackedBackend.js';

const spread = { activeObjects: 0, regionShare: 1, isSharedByRegion: false };
/** The objects belong to the region of the host. */
const regions = [
  { region: 'north', isPlannedHere: true },
  { region: 'south', isPlannedHere: false },
];
const keys = ['object-1', 'object-2', 'object-3'];

/** Backend servers of three zones; `onIdRead` is called each time the id of one is read. */
function backendsOf(onIdRead: () => void): TrackedBackend[] {
  const zones: readonly [Distance, string][] = [
    ['zone', 'north-a'],
    ['region', 'north-b'],
    ['far', 'south-a'],
  ];
  return Array.from({ length: 12 }, (_, index) => {
    const [distance, availabilityZone] = zones[index % zones.length]!;
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
    regions
      .flatMap(({ region, isPlannedHere }) =>
        preferred.selectIn(region, key, { ...spread, isPlannedHere }, () => true),
      )
      .map(({ backend }) => backend.record.backendId),
  );
}

test('a change in one group keeps the cached orders of the other groups', (t) => {
  let idsRead = 0;
  const all = backendsOf(() => {
    idsRead += 1;
  });
  const before = new PreferredBackends(all);
  selectedIds(before);
  const withoutOneFar = all.filter((backend) => backend !== all[2]);
  const uncached = selectedIds(new PreferredBackends(withoutOneFar));
  idsRead = 0;
  const after = selectedIds(new PreferredBackends(withoutOneFar, before));
  t.deepEqual(after, uncached);
  const selected = after.flat().length;
  const farLeft = 3;
  t.is(idsRead, selected + keys.length * farLeft, 'only the changed group is sorted again');
});

test('unchanged groups are not sorted again', (t) => {
  let idsRead = 0;
  const all = backendsOf(() => {
    idsRead += 1;
  });
  const before = new PreferredBackends(all);
  const expected = selectedIds(before);
  idsRead = 0;
  const after = selectedIds(new PreferredBackends([...all], before));
  t.deepEqual(after, expected);
  t.is(idsRead, after.flat().length);
});
