import test from 'ava';

import { createSeededRandom as seededRandom } from '../fakes/seededRandom.js';
import { VirtualMembers } from './virtualMembers.js';

/**
 * Hosts that are late for moments, on small machines and congested links. Guards against false failures that feed
 * themselves: each one costs messages, which make hosts late, which makes further failures.
 */

const hostCount = 85;
const perZone = 10;
const probeIntervalMs = 1000;
const settleMs = 10_000;
const troubleMs = 8000;

/** Lets hosts stand still for up to a second, a tenth of them at a time, as under load. */
function disturb(members: VirtualMembers, random: () => number): void {
  const untilMs = members.now() + troubleMs;
  const hostIds = members.hostIds();
  while (members.now() < untilMs) {
    const late = hostIds.filter(() => random() < 0.1);
    for (const hostId of late) members.pause(hostId);
    members.run(300 + Math.floor(700 * random()));
    for (const hostId of late) members.resume(hostId);
  }
}

for (const seed of [1, 2]) {
  test(`hosts that are late for less than a second are not held to have failed, seed ${seed}`, (t) => {
    const random = seededRandom(seed);
    const members = new VirtualMembers(hostCount, perZone, random, false, probeIntervalMs);
    Object.assign(members.links, { minDelayMs: 4, maxDelayMs: 300, messageCostMs: 1 });
    members.run(settleMs);
    disturb(members, random);
    members.run(settleMs);
    const failures = members.events.filter(({ kind }) => kind === 'memberFailed');
    t.is(failures.length, 0);
    t.true(members.allAlive());
  });
}
