import type { RegionDemand } from '@buckthornlug/protocol/routing/regionPlanSchema.js';
import test from 'ava';

import { mergeDemand } from './mergeDemand.js';

function demandOf(service: string, callerRegion: string, offeredCalls: number): RegionDemand {
  return {
    service,
    callerRegion,
    offeredCalls,
    runs: { north: offeredCalls - 1, south: 1 },
    loads: { north: { calls: 2, slots: 4 } },
    activeObjects: 10 * offeredCalls,
  };
}

test('reports of one service and region become one, with the counts of all', (t) => {
  const second = {
    ...demandOf('desk', 'north', 7),
    runs: { west: 7 },
    loads: { west: { calls: 3, slots: 6 } },
  };
  t.deepEqual(mergeDemand([demandOf('desk', 'north', 5), second, demandOf('desk', 'north', 2)]), [
    {
      service: 'desk',
      callerRegion: 'north',
      offeredCalls: 14,
      runs: { north: 5, south: 2, west: 7 },
      loads: { north: { calls: 4, slots: 8 }, west: { calls: 3, slots: 6 } },
      // Most objects are those of several hosts, so that a sum would count them repeatedly.
      activeObjects: 70,
    },
  ]);
});

test('reports of other services and regions stay apart', (t) => {
  const reports = [
    demandOf('desk', 'north', 5),
    demandOf('desk', 'south', 5),
    demandOf('mail', 'north', 5),
  ];
  t.deepEqual(mergeDemand(reports), reports);
});

test('merging changes none of the reports', (t) => {
  const report = demandOf('desk', 'north', 5);
  mergeDemand([report, demandOf('desk', 'north', 5)]);
  t.deepEqual(report, demandOf('desk', 'north', 5));
});

test('merging in two stages, as control hosts and the leader do, is merging at once', (t) => {
  const reports = [1, 2, 3, 4].map((calls) => demandOf('desk', 'north', calls));
  const staged = mergeDemand([
    ...mergeDemand(reports.slice(0, 2)),
    ...mergeDemand(reports.slice(2)),
  ]);
  t.deepEqual(staged, mergeDemand(reports));
});
