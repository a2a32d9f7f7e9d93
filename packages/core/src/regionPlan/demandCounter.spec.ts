import test from 'ava';

import { DemandCounter } from './demandCounter.js';

test('a report has the calls, their regions and the loads of backend servers that reported', (t) => {
  const counter = new DemandCounter();
  for (const region of ['north', 'north', 'south']) {
    counter.recordOffered();
    counter.recordRun(region);
  }
  counter.recordOffered();
  const backends = [
    { region: 'north', slots: 4, reportedCalls: 3 },
    { region: 'north', slots: 4, reportedCalls: 0 },
    { region: 'north', slots: 8, reportedCalls: undefined },
    { region: 'south', slots: 2, reportedCalls: 5 },
    { region: 'west', slots: 2, reportedCalls: undefined },
  ];
  t.deepEqual(counter.take('desk', 'north', backends, 17), {
    service: 'desk',
    callerRegion: 'north',
    offeredCalls: 4,
    runs: { north: 2, south: 1 },
    loads: { north: { calls: 3, slots: 8 }, south: { calls: 5, slots: 2 } },
    activeObjects: 17,
  });
});

test('a call is reported once', (t) => {
  const counter = new DemandCounter();
  counter.recordOffered();
  counter.recordRun('north');
  const first = counter.take('desk', 'north', [], 1);
  const { offeredCalls, runs } = counter.take('desk', 'north', [], 1);
  t.deepEqual({ offeredCalls, runs }, { offeredCalls: 0, runs: {} });
  t.deepEqual(first.runs, { north: 1 });
});
