import test from 'ava';
import fc from 'fast-check';

import type { Announcement, LeaseEcho } from '@buckthornlug/protocol/announce/announceSchema.js';

import { SlotLease } from './slotLease.js';
import type { LeaseTiming } from './slotsTypes.js';

const timing: LeaseTiming = { leaseMs: 2000, guardMs: 50, formerOwnerCallMs: 3000, slowStartMs: 0 };

function announcement(lease?: LeaseEcho, more: Partial<Announcement> = {}): Announcement {
  return {
    backendId: 'worker-1',
    service: 'parts-desk',
    availabilityZone: 'lagos-a',
    endpoint: { address: '127.0.0.1', port: 8000 },
    slots: 3,
    connectionLimit: 330,
    state: 'ready',
    inFlight: 0,
    lease,
    ...more,
  };
}

function echo(hostId: string, token: string, ageMs: number): LeaseEcho {
  return { hostId, token, ageMs };
}

/** A lease that host `a` has held since 10 ms, by a token sent at 0 ms. */
function heldLease(): SlotLease {
  const lease = new SlotLease('a', timing);
  lease.receive(announcement(), 0, 0);
  lease.issue('t1', 0, 0);
  lease.receive(announcement(echo('a', 't1', 10)), 10, 0);
  return lease;
}

const leaseCases: readonly {
  readonly title: string;
  readonly lease: () => SlotLease;
  readonly moments: readonly (readonly [nowMs: number, usableSlots: number])[];
}[] = [
  {
    title: 'the first announcement alone gives no slots',
    lease: () => {
      const lease = new SlotLease('a', timing);
      lease.receive(announcement(), 0, 0);
      lease.issue('t1', 0, 0);
      return lease;
    },
    moments: [[1, 0]],
  },
  {
    title: 'the lease runs from when the echoed token was sent',
    lease: heldLease,
    moments: [
      [10, 3],
      [1949, 3],
      [1950, 0],
    ],
  },
  {
    title: 'a delayed announcement does not extend the lease',
    lease: () => {
      const lease = heldLease();
      lease.receive(announcement(echo('a', 't1', 1800)), 1900, 0);
      return lease;
    },
    moments: [[1960, 0]],
  },
  {
    title: 'an unknown token gives no slots',
    lease: () => {
      const lease = new SlotLease('a', timing);
      lease.receive(announcement(echo('a', 'forged', 0)), 0, 0);
      return lease;
    },
    moments: [[1, 0]],
  },
  {
    title: 'a new owner waits until the lease of the former owner is over',
    lease: () => {
      const lease = new SlotLease('b', timing);
      lease.receive(announcement(echo('a', 't9', 300)), 0, 0);
      lease.issue('t1', 0, 0);
      lease.receive(announcement(echo('b', 't1', 20)), 20, 0);
      lease.issue('t2', 1700, 0);
      lease.receive(announcement(echo('b', 't2', 20)), 1720, 0);
      return lease;
    },
    moments: [
      [1699, 0],
      [1720, 3],
    ],
  },
  {
    title: 'a new owner needs no wait after a release',
    lease: () => {
      const former = heldLease();
      const token = former.release('t2', 500);
      const lease = new SlotLease('b', timing);
      lease.receive(announcement(echo('a', token, 1)), 501, 0);
      lease.issue('t1', 501, 0);
      lease.receive(announcement(echo('b', 't1', 20)), 521, 0);
      return lease;
    },
    moments: [[521, 3]],
  },
  {
    title: 'a host that released its lease has no slots',
    lease: () => {
      const lease = heldLease();
      lease.release('t2', 500);
      return lease;
    },
    moments: [[501, 0]],
  },
  {
    title: 'calls of the former owner keep their slots',
    lease: () => {
      const lease = new SlotLease('b', timing);
      lease.receive(announcement(echo('a', 't2~released', 1)), 0, 0);
      lease.issue('t1', 0, 0);
      lease.receive(announcement(echo('b', 't1', 20), { inFlight: 2 }), 20, 0);
      return lease;
    },
    moments: [[21, 1]],
  },
  {
    title: 'a draining backend server gets no new work',
    lease: () => {
      const lease = heldLease();
      lease.issue('t2', 20, 0);
      lease.receive(announcement(echo('a', 't2', 10), { state: 'draining' }), 30, 0);
      return lease;
    },
    moments: [[31, 0]],
  },
  {
    title: 'a warming backend server gets at most half of its slots',
    lease: () => {
      const lease = heldLease();
      lease.issue('t2', 20, 0);
      lease.receive(announcement(echo('a', 't2', 10), { state: 'warming', slots: 6 }), 30, 0);
      return lease;
    },
    moments: [[31, 3]],
  },
  {
    title: 'the connection limit bounds the slots',
    lease: () => {
      const lease = heldLease();
      lease.issue('t2', 20, 0);
      lease.receive(announcement(echo('a', 't2', 10), { connectionLimit: 2 }), 30, 0);
      return lease;
    },
    moments: [[31, 2]],
  },
];

for (const { title, lease, moments } of leaseCases) {
  test(title, (t) => {
    const held = lease();
    t.deepEqual(
      moments.map(([nowMs]) => [nowMs, held.usableSlots(nowMs)]),
      moments.map((moment) => [...moment]),
    );
  });
}

test('a new backend server ramps up from one slot to all of them', (t) => {
  const lease = new SlotLease('a', { ...timing, slowStartMs: 1000 });
  lease.receive(announcement(undefined, { slots: 6 }), 0, 0);
  lease.issue('t1', 0, 0);
  lease.receive(announcement(echo('a', 't1', 10), { slots: 6 }), 10, 0);
  t.snapshot([10, 400, 700, 1000].map((nowMs) => lease.usableSlots(nowMs)));
});

/** A step of the model: announcements to one host, each after some time and with a delay. */
const stepArbitrary = fc.record({
  hostId: fc.constantFrom('a' as const, 'b' as const),
  times: fc.integer({ min: 1, max: 5 }),
  passMs: fc.constantFrom(5, 40, 150, 400, 400),
  lagMs: fc.constantFrom(0, 5, 300, 900),
  outcome: fc.constantFrom('arrives', 'arrives', 'arrives', 'lost', 'replyLost', 'released'),
  callMs: fc.integer({ min: 5, max: 1500 }),
});

type Step = typeof stepArbitrary extends fc.Arbitrary<infer Value> ? Value : never;

const tickMs = 5;

/** Two hosts that use every slot they may, and one backend server; messages are delayed or lost. */
class LeaseModel {
  maxRunning = 0;

  callsByHost = { a: 0, b: 0 };

  private nowMs = 0;

  private callMs = 5;

  private readonly hosts = { a: new SlotLease('a', timing), b: new SlotLease('b', timing) };

  private readonly ownInFlight = { a: 0, b: 0 };

  private calls: { readonly hostId: 'a' | 'b'; readonly endsAtMs: number }[] = [];

  private lastReply: { hostId: 'a' | 'b'; token: string } | undefined;

  private lastSentMs = { a: 0, b: 0 };

  private labels = 0;

  step(step: Step): void {
    this.callMs = step.callMs;
    for (let time = 0; time < step.times; time += 1) {
      this.advance(step.passMs);
      this.announce(step);
    }
  }

  private advance(ms: number): void {
    for (let passedMs = 0; passedMs < ms; passedMs += tickMs) {
      this.nowMs += tickMs;
      this.finishCalls();
      this.dispatch('a');
      this.dispatch('b');
    }
  }

  private finishCalls(): void {
    for (const call of this.calls) {
      if (call.endsAtMs > this.nowMs) continue;
      this.ownInFlight[call.hostId] -= 1;
      this.hosts[call.hostId].recordInFlight(this.ownInFlight[call.hostId]);
    }
    this.calls = this.calls.filter((call) => call.endsAtMs > this.nowMs);
  }

  private dispatch(hostId: 'a' | 'b'): void {
    while (this.hosts[hostId].usableSlots(this.nowMs) > this.ownInFlight[hostId]) {
      this.ownInFlight[hostId] += 1;
      this.callsByHost[hostId] += 1;
      this.calls.push({ hostId, endsAtMs: this.nowMs + this.callMs });
    }
    this.maxRunning = Math.max(this.maxRunning, this.calls.length);
  }

  private announce({ hostId, lagMs, outcome }: Step): void {
    const last = this.lastReply;
    const lease = last && echo(last.hostId, last.token, this.nowMs - this.lastSentMs[last.hostId]);
    const message = announcement(lease, { inFlight: this.calls.length });
    this.lastSentMs[hostId] = this.nowMs;
    if (outcome === 'lost') return;
    this.advance(lagMs);
    const host = this.hosts[hostId];
    host.receive(message, this.nowMs, this.ownInFlight[hostId]);
    this.labels += 1;
    const label = `${hostId}${this.labels}`;
    const token =
      outcome === 'released'
        ? host.release(label, this.nowMs)
        : host.issue(label, this.nowMs, this.ownInFlight[hostId]);
    if (outcome !== 'replyLost') this.lastReply = { hostId, token };
  }
}

test('two hosts together never use more slots than announced', (t) => {
  const takeovers = { count: 0 };
  const property = fc.property(fc.array(stepArbitrary, { maxLength: 30 }), (steps) => {
    const model = new LeaseModel();
    for (const step of steps) model.step(step);
    if (model.callsByHost.a > 0 && model.callsByHost.b > 0) takeovers.count += 1;
    return model.maxRunning <= 3;
  });
  t.notThrows(() => fc.assert(property, { seed: 4, numRuns: 2000 }));
  t.true(takeovers.count > 200, `the lease moved in ${takeovers.count} rounds`);
});

// Guards against calls on slots that were given to another host while this machine was suspended.
test('a lease is not held after a break of the clock until a token issued since is echoed', (t) => {
  const lease = heldLease();
  t.true(lease.isHeld(20));
  lease.issue('t2', 30, 0);
  lease.distrustTimes(40);
  t.false(lease.isHeld(40));
  t.is(lease.usableSlots(40), 0);
  t.true(lease.needsEarlyRenewal(40));
  lease.receive(announcement(echo('a', 't2', 5)), 50, 0);
  t.false(lease.isHeld(50));
  lease.issue('t3', 50, 0);
  lease.receive(announcement(echo('a', 't3', 5)), 60, 0);
  t.true(lease.isHeld(60));
});
