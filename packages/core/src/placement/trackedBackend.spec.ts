import test from 'ava';

import { LoadPerSlot } from './loadPerSlot.js';
import { sampleBackend } from './sampleBackend.js';

test('a call counts as in flight from its start to its end', (t) => {
  const backend = sampleBackend();
  backend.start(1000);
  backend.start(1100);
  t.is(backend.load(1200, 0), 2);
  t.is(backend.oldestInFlightMs(1200), 200);
  backend.end(1000);
  t.is(backend.oldestInFlightMs(1200), 100);
  backend.end(1100);
  t.is(backend.load(1200, 0), 0);
  t.is(backend.oldestInFlightMs(5000), 0);
});

test('a reported load adds the calls of other hosts and counts less as it ages', (t) => {
  const backend = sampleBackend();
  backend.start(1000);
  backend.recordLoad({ running: 3, waiting: 1, slots: 4 }, 1000);
  t.is(backend.load(1000, 0), 4);
  t.is(backend.load(1300, 0), 2.5);
});

test('a backend server without a recent report gets the default load per slot', (t) => {
  t.is(sampleBackend('far').load(0, 0.5), 2);
  t.is(sampleBackend('zone').load(0, 0), 0);
  const backend = sampleBackend();
  backend.recordLoad({ running: 0, waiting: 0, slots: 4 }, 1000);
  t.is(backend.load(1000, 1.5), 0);
  t.is(backend.load(1300, 1.5), 3);
});

// Guards against one garbled report that makes all backend servers of a region look full.
test('a report of more calls than a backend server holds hardly moves the load of its region', (t) => {
  const backends = Array.from({ length: 20 }, () => sampleBackend());
  for (const backend of backends) backend.recordLoad({ running: 2, waiting: 0, slots: 4 }, 1000);
  backends[0]?.recordLoad({ running: 99_999, waiting: 99_999, slots: 4 }, 1000);
  const loads = new LoadPerSlot();
  loads.update(backends, 1000);
  t.true(loads.at('region') < 1);
});

test('the failure share and the slowness of a backend server decay with time', (t) => {
  const backend = sampleBackend();
  for (let call = 0; call < 20; call += 1)
    backend.recordHealth({ isFailure: true, slowness: 5 }, 1000);
  t.true(backend.failureShareAt(1000) > 0.9);
  t.true(backend.slownessAt(1000) > 4);
  t.true(backend.failureShareAt(31_000) < 0.01);
  t.true(backend.slownessAt(31_000) < 1.01);
});

test('the backoff of an unreachable backend server grows each time, until it answers', (t) => {
  const backend = sampleBackend();
  backend.backOff(0);
  t.true(backend.isBackingOff(499));
  t.false(backend.isBackingOff(500));
  backend.backOff(500);
  t.true(backend.isBackingOff(1499));
  backend.recordHealth({ isFailure: false }, 1500);
  backend.backOff(1500);
  t.false(backend.isBackingOff(2000));
});
