import type { TimelineEvent } from '@buckthornlug/protocol/events/eventSchema.js';
import test from 'ava';

import { createEventRing } from './eventRing.js';
import {
  compareHybridTime,
  formatHybridTime,
  maxClockLeadMs,
  observeHybridTime,
  parseHybridTime,
  tickHybridClock,
} from './hybridClock.js';
import { formatEvent, mergeTimelines } from './timeline.js';
import { renderTimelinePage } from './timelinePage.js';

function eventAt(hostId: string, sequence: number, wallMs: number, counter = 0): TimelineEvent {
  return {
    kind: 'callRefused',
    at: { wallMs, counter },
    hostId,
    availabilityZone: 'zone-a',
    incarnation: 1,
    sequence,
    requestId: `r${sequence}`,
    code: 'BL3002',
    detail: { waitMs: 12 },
  };
}

test('the clock advances even if the wall time stands still or goes back', (t) => {
  const first = tickHybridClock({ wallMs: 0, counter: 0 }, 100);
  const second = tickHybridClock(first, 100);
  const third = tickHybridClock(second, 40);
  t.true(compareHybridTime(first, second) < 0);
  t.true(compareHybridTime(second, third) < 0);
});

test('an event after the receipt of a message is later than its sending', (t) => {
  const sent = { wallMs: 5000, counter: 3 };
  const received = observeHybridTime({ wallMs: 10, counter: 0 }, sent, 20);
  t.true(compareHybridTime(sent, received) < 0);
});

test('the lead of a remote clock is capped', (t) => {
  const received = observeHybridTime({ wallMs: 0, counter: 0 }, { wallMs: 9e12, counter: 0 }, 1000);
  t.true(received.wallMs <= 1000 + maxClockLeadMs);
});

test('a reading survives formatting and parsing, and malformed text is refused', (t) => {
  t.deepEqual(parseHybridTime(formatHybridTime({ wallMs: 12, counter: 7 })), {
    wallMs: 12,
    counter: 7,
  });
  for (const text of ['', '1', '1.', 'x.y', '1.2.3', '-1.0'])
    t.is(parseHybridTime(text), undefined);
});

test('a full ring keeps the newest events and counts the overwritten ones', (t) => {
  const ring = createEventRing(3);
  for (let sequence = 1; sequence <= 5; sequence += 1)
    ring.add(eventAt('host-1', sequence, sequence));
  t.deepEqual(
    ring.read(0).map((event) => event.sequence),
    [3, 4, 5],
  );
  t.deepEqual(
    ring.read(4).map((event) => event.sequence),
    [5],
  );
  t.is(ring.dropped(), 2);
});

test('events of several hosts are merged in causal order, deduplicated and filtered', (t) => {
  const first = [eventAt('host-1', 1, 10), eventAt('host-1', 2, 30)];
  const second = [eventAt('host-2', 1, 20), eventAt('host-2', 2, 30, 1)];
  t.snapshot(mergeTimelines([first, second, first]).map(formatEvent));
  t.is(mergeTimelines([first, second], { hostId: 'host-2', requestId: 'r2' }).length, 1);
});

test('the page escapes texts from hosts and names the hosts that were not reached', (t) => {
  const event = { ...eventAt('host-1', 1, 10), detail: { text: '<script>' } };
  const page = renderTimelinePage([event], ['host-9']);
  t.false(page.includes('<script>'));
  t.true(page.includes('Not reached: host-9'));
});
