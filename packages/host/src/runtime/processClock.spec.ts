import test from 'ava';

import { createProcessClock } from './processClock.js';
import { TrustedTimes } from './trustedTimes.js';

/** A machine that can be suspended, and whose process can be held up while it reads the clocks. */
class FakeMachine {
  private monotonic = 1000;

  private wall = 1_700_000_000_000;

  private heldUpMs = 0;

  run(ms: number): void {
    this.monotonic += ms;
    this.wall += ms;
  }

  suspend(ms: number): void {
    this.wall += ms;
  }

  /** Holds the process up after its next reading of the monotonic clock. */
  holdUpOnce(ms: number): void {
    this.heldUpMs = ms;
  }

  readonly clocks = {
    monotonicMs: () => {
      const readMs = this.monotonic;
      this.run(this.heldUpMs);
      this.heldUpMs = 0;
      return readMs;
    },
    wallMs: () => this.wall,
  };
}

test('a suspension is noticed before the first time after it is returned', (t) => {
  const machine = new FakeMachine();
  const clock = createProcessClock(machine.clocks);
  const breaks: number[] = [];
  const unsubscribe = clock.onBreak?.((nowMs, partingMs) => breaks.push(nowMs, partingMs));
  t.is(clock.nowMs(), 1000);
  machine.run(5000);
  t.is(clock.nowMs(), 6000);
  t.deepEqual(breaks, []);
  machine.suspend(4000);
  machine.run(1);
  t.is(clock.nowMs(), 6001);
  t.deepEqual(breaks, [6001, 4000]);
  machine.run(10);
  clock.nowMs();
  t.is(breaks.length, 2);
  unsubscribe?.();
  machine.suspend(4000);
  clock.nowMs();
  t.is(breaks.length, 2);
});

test('a process that is held up between its two readings has seen no break', (t) => {
  const machine = new FakeMachine();
  const clock = createProcessClock(machine.clocks);
  let breaks = 0;
  clock.onBreak?.(() => {
    breaks += 1;
  });
  clock.nowMs();
  machine.holdUpOnce(900);
  t.is(clock.nowMs(), 1900);
  machine.run(100);
  t.is(clock.nowMs(), 2000);
  t.is(breaks, 0);
});

test('times that were noted before a suspension are no measure of age, later ones are', (t) => {
  const machine = new FakeMachine();
  const clock = createProcessClock(machine.clocks);
  const times = new TrustedTimes(clock);
  const notedAtMs = clock.nowMs();
  machine.run(100);
  t.true(times.isTrusted(notedAtMs));
  machine.suspend(3000);
  machine.run(1);
  t.false(times.isTrusted(notedAtMs));
  machine.run(1);
  const notedLaterAtMs = clock.nowMs();
  t.true(times.isTrusted(notedLaterAtMs));
});
