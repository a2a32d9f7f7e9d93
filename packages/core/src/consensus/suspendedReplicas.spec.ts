/* eslint no-param-reassign: ['error', { props: false }] */
import test from 'ava';

import { holdsLease } from './commitment.js';
import type { ConsensusInput, DurableState } from './consensusTypes.js';
import { stateAgeMs } from './replica.js';
import { Schedule, scheduleOptions, type Replica } from './replicaSchedule.js';
import { assertInvariant } from './scheduleParts.js';

/**
 * Replicas on machines that are suspended: their monotonic clocks do not count that time. Checks what they
 * claim in true time whenever they run.
 */
class SuspensionSchedule extends Schedule {
  /** Time that the monotonic clock of each replica has not counted. */
  private readonly lostMs = new Map<string, number>();

  /** True time at which each entry was first applied. */
  private readonly committedAtMs: number[] = [];

  suspensions = 0;

  vouched = 0;

  protected override clockOf({ id }: Pick<Replica, 'id'>): number {
    return this.nowMs - (this.lostMs?.get(id) ?? 0);
  }

  protected override runRandomAction(): void {
    if (this.randomBelow(60) === 0) this.suspend(this.randomReplica());
    super.runRandomAction();
  }

  protected override startReplica(id: string, disk: DurableState): Replica {
    const replica = super.startReplica(id, disk);
    replica.state.clockId = 1 + this.randomBelow(2 ** 40);
    return replica;
  }

  private suspend(replica: Replica): void {
    if (replica.isDown || replica.pausedUntil > this.nowMs) return;
    const durationMs = 50 + this.randomBelow(300);
    replica.pausedUntil = this.nowMs + durationMs;
    this.lostMs.set(replica.id, (this.lostMs.get(replica.id) ?? 0) + durationMs);
    this.suspensions += 1;
    // The process notices it before it does anything else.
    replica.state.trustedSinceMs = replica.pausedUntil - (this.lostMs.get(replica.id) ?? 0);
  }

  protected override stepReplica(replica: Replica, input: ConsensusInput): void {
    super.stepReplica(replica, input);
    while (this.committedAtMs.length < this.committed.length) this.committedAtMs.push(this.nowMs);
    if (replica.isDown || replica.pausedUntil > this.nowMs) return;
    const silentMs = stateAgeMs(replica.state, this.clockOf(replica));
    if (silentMs <= scheduleOptions.electionTimeoutMs) this.vouched += 1;
    const lackedSinceMs = this.committedAtMs[replica.state.commitIndex + 1] ?? Infinity;
    assertInvariant(
      lackedSinceMs >= this.nowMs - silentMs,
      `${replica.id} vouches for ${silentMs} ms ago and lacks a commit of ${this.nowMs - lackedSinceMs} ms ago`,
    );
  }

  protected override checkLeases(): void {
    const holders = this.replicas.filter(
      (one) =>
        !one.isDown && one.pausedUntil <= this.nowMs && holdsLease(one.state, this.clockOf(one)),
    );
    assertInvariant(holders.length <= 1, 'two replicas hold a lease');
  }
}

// Guards against control hosts that vouch for old state, and leaders that believe in their lease, after a suspension.
test('replicas of suspended machines vouch for no state that they lack, and hold no lease beside another', (t) => {
  let suspensions = 0;
  let vouched = 0;
  const failures: string[] = [];
  for (let seed = 1; seed <= 150; seed += 1) {
    const schedule = new SuspensionSchedule(seed);
    try {
      schedule.run(1500);
      schedule.heal();
    } catch (error) {
      failures.push(`seed ${seed}: ${(error as Error).message}`);
    }
    suspensions += schedule.suspensions;
    vouched += schedule.vouched;
  }
  t.deepEqual(failures, []);
  t.true(suspensions > 1000 && vouched > 10_000, `${suspensions} ${vouched}`);
});
