import test from 'ava';
import fc from 'fast-check';

import { spillShare } from './shiftCap.js';
import { SpillAllowance } from './spillAllowance.js';

const maxShift = 0.15;
const hostCount = 60;
const capWindowMs = 2000;

/** Largest number of calls that chance draws at a share; five standard deviations. */
function mostDrawn(calls: number): number {
  const expected = calls * spillShare(maxShift);
  return expected + 5 * Math.sqrt(expected) + 3;
}

/** Sends calls that all leave their planned region if they may; returns how many did. */
function countSpills(allowance: SpillAllowance, ids: readonly string[], nowMs: number): number {
  let spills = 0;
  for (const id of ids) {
    allowance.recordCall(id, nowMs);
    if (!allowance.maySpill(nowMs)) continue;
    allowance.recordSpill();
    spills += 1;
  }
  return spills;
}

function idsFrom(first: number, calls: number): string[] {
  return Array.from({ length: calls }, (_, index) => `r-${first + index}`);
}

/** The identity of a call that earns an exception. */
function drawnId(): string {
  for (const id of idsFrom(0, 1000)) {
    if (countSpills(new SpillAllowance(maxShift), [id], 0) === 1) return id;
  }
  throw new Error('no call earns an exception');
}

test('a host that starts may not spill', (t) => {
  t.false(new SpillAllowance(maxShift).maySpill(0));
});

test('a host whose calls all want to leave spills its share of them', (t) => {
  const spills = countSpills(new SpillAllowance(maxShift), idsFrom(0, 20_000), 0);
  t.true(spills <= mostDrawn(20_000));
  t.true(spills >= 0.75 * 20_000 * spillShare(maxShift), `${spills}`);
});

test('the share of spilled calls grows by less than the cap from window to window', (t) => {
  const allowance = new SpillAllowance(maxShift);
  let before = 0;
  for (let window = 0; window < 6; window += 1) {
    const ids = idsFrom(1000 * window, 1000);
    const share = countSpills(allowance, ids, capWindowMs * window) / 1000;
    t.true(share > 0);
    t.true(share <= maxShift / 3);
    t.true(share - before <= maxShift);
    before = share;
  }
});

test('an exception is used once', (t) => {
  const allowance = new SpillAllowance(maxShift);
  allowance.recordCall(drawnId(), 0);
  t.true(allowance.maySpill(999));
  allowance.recordSpill();
  t.false(allowance.maySpill(999));
});

test('exceptions are not saved up', (t) => {
  const allowance = new SpillAllowance(maxShift);
  for (let call = 0; call < 100; call += 1) allowance.recordCall(drawnId(), 0);
  allowance.recordSpill();
  t.false(allowance.maySpill(0));
});

test('an exception expires after a second', (t) => {
  const allowance = new SpillAllowance(maxShift);
  allowance.recordCall(drawnId(), 5000);
  t.true(allowance.maySpill(5999));
  t.false(allowance.maySpill(6000));
});

test('after a long time without calls spills stay within the cap', (t) => {
  const allowance = new SpillAllowance(maxShift);
  countSpills(allowance, idsFrom(0, 1000), 0);
  allowance.recordCall(drawnId(), 100);
  t.true(countSpills(allowance, idsFrom(1000, 100), 60_000) / 100 <= maxShift);
});

test('with a cap of zero no call spills', (t) => {
  t.is(countSpills(new SpillAllowance(0), idsFrom(0, 10_000), 0), 0);
});

const turnsArbitrary = fc.array(
  fc.record({
    host: fc.nat({ max: hostCount - 1 }),
    calls: fc.integer({ min: 1, max: 300 }),
    wantToLeave: fc.boolean(),
  }),
  { maxLength: 100 },
);

test('however calls are spread over 60 hosts, spills stay within the share plus one a host', (t) => {
  const property = fc.property(
    fc.nat(),
    turnsArbitrary,
    turnsArbitrary,
    (first, before, window) => {
      const hosts = Array.from({ length: hostCount }, () => new SpillAllowance(maxShift));
      let sent = first;
      let spills = 0;
      const take = ({ host, calls, wantToLeave }: (typeof window)[number]) => {
        const ids = idsFrom(sent, calls);
        sent += calls;
        const allowance = hosts[host];
        if (wantToLeave && allowance !== undefined) spills += countSpills(allowance, ids, 0);
        else for (const id of ids) allowance?.recordCall(id, 0);
      };
      for (const turn of before) take(turn);
      spills = 0;
      for (const turn of window) take(turn);
      const calls = window.reduce((sum, turn) => sum + turn.calls, 0);
      const leaving = new Set(
        window.filter(({ wantToLeave }) => wantToLeave).map(({ host }) => host),
      );
      return spills <= mostDrawn(calls) + leaving.size;
    },
  );
  t.notThrows(() => fc.assert(property, { numRuns: 200 }));
});
