/* eslint no-param-reassign: ['error', { props: false }] */
import test from 'ava';

import type { ConsensusEffect, ReplicaId } from './consensusTypes.js';
import { Schedule, scheduleOptions, type Replica } from './replicaSchedule.js';
import { isMember } from './replicaState.js';
import { assertInvariant, firstDisk } from './scheduleParts.js';

/**
 * Hosts of a group are replaced in series by hosts with other names, beside cuts, restarts and emptied disks.
 * Guards against a group whose former hosts stay voters until those that run are no majority.
 */

const scheduleCount = 250;
const roundsPerSchedule = 12;
const stepsPerRound = 120;
/** Faultless rounds of 5 ms within which the members are those that run. */
const maxSettlingRounds = 600;
const silentMs = 250;

class ReplacementSchedule extends Schedule {
  private readonly founderCount: number;

  private readonly lostHosts: number;

  private addedHosts = 0;

  replacements = 0;

  constructor(seed: number) {
    const losses = { hosts: 0, availabilityZones: 0, regions: 0 };
    const replacement = { silentMs, losses, placeOf: () => undefined };
    super(seed, undefined, { ...scheduleOptions, replacement });
    this.founderCount = this.replicas.length;
    this.lostHosts = (this.founderCount - 1) / 2;
    losses.hosts = this.lostHosts;
  }

  private votersInForce(): readonly ReplicaId[] {
    const newest = this.replicas.reduce((best, next) =>
      next.state.commitIndex > best.state.commitIndex ? next : best,
    );
    return newest.committedMembers.voters;
  }

  /** Voters that are gone or whose disk was emptied, and hosts that do not vote yet. */
  private lossesInForce(): number {
    const voters = this.votersInForce();
    const running = new Set(this.replicas.map(({ id }) => id));
    const lost = voters.filter((id) => !running.has(id)).length;
    return lost + this.replicas.filter(({ id }) => !voters.includes(id)).length;
  }

  /** Adds a host with an empty disk. */
  private addHost(): void {
    this.addedHosts += 1;
    this.replicas.push(this.startReplica(`added-${this.addedHosts}/1`, firstDisk()));
  }

  /** Takes a host away for good once another one more than at the start votes. */
  private removeHost(): void {
    const voters = this.votersInForce();
    const runningVoters = this.replicas.filter(({ id }) => voters.includes(id));
    if (runningVoters.length <= this.founderCount) return;
    if (this.lossesInForce() >= this.lostHosts) return;
    const replica = this.randomReplica();
    this.replicas.splice(this.replicas.indexOf(replica), 1);
    this.replacements += 1;
  }

  protected override runRandomAction(): void {
    const choice = this.randomBelow(1000);
    if (choice < 6 && this.replicas.length <= this.founderCount) this.addHost();
    else if (choice < 20) this.removeHost();
    else if (choice < 40) this.requestAdmissions();
    else super.runRandomAction();
  }

  protected override emptyDisk(replica: Replica): void {
    if (this.lossesInForce() < this.lostHosts) super.emptyDisk(replica);
  }

  /** Replicas without a leader, and those that are no members, ask the leader to add them. */
  private requestAdmissions(): void {
    const leader = this.findLeader();
    if (leader === undefined) return;
    for (const { id, state, isDown, pausedUntil } of this.replicas) {
      const isServed = isMember(state.members, id) && state.leader !== null;
      if (isDown || pausedUntil > this.nowMs || isServed) continue;
      const change = { change: 'add', replicaId: id } as const;
      this.stepReplica(leader, { kind: 'changeMembers', change });
    }
  }

  protected override runFaultlessRound(round: number): void {
    super.runFaultlessRound(round);
    if (round % 20 === 15) this.requestAdmissions();
  }

  protected override executeEffect(replica: Replica, effect: ConsensusEffect): void {
    super.executeEffect(replica, effect);
    if (effect.kind !== 'silentReplicaRemoved') return;
    const { voters } = replica.state.members;
    const wasVoter = replica.committedMembers.voters.includes(effect.replicaId);
    assertInvariant(
      !wasVoter || voters.length >= this.founderCount,
      `${voters.length} voters are left of ${this.founderCount}`,
    );
  }

  /** Ends all faults, and requires new commits and that exactly the running replicas vote. */
  settle(): void {
    this.heal();
    const isSettled = () => {
      const voters = this.votersInForce();
      const ids = this.replicas.map(({ id }) => id);
      return voters.length === ids.length && ids.every((id) => voters.includes(id));
    };
    for (let round = 0; round < maxSettlingRounds && !isSettled(); round += 1) {
      this.runFaultlessRound(round);
    }
    const running = this.replicas.map(({ id }) => id).join();
    assertInvariant(isSettled(), `${this.votersInForce().join()} vote, ${running} run`);
  }
}

test('hosts that are replaced in series leave the group, and it commits after each round of faults', (t) => {
  const failures: string[] = [];
  let replacements = 0;
  for (let seed = 1; seed <= scheduleCount; seed += 1) {
    const schedule = new ReplacementSchedule(seed);
    try {
      for (let round = 0; round < roundsPerSchedule; round += 1) {
        schedule.run(stepsPerRound);
        schedule.settle();
      }
    } catch (error) {
      failures.push(`seed ${seed}: ${(error as Error).message}`);
    }
    replacements += schedule.replacements;
  }
  t.deepEqual(failures, []);
  t.true(replacements > scheduleCount, `${replacements} replacements`);
});
