import test from 'ava';

import { createSeededRandom as seededRandom } from '../fakes/seededRandom.js';
import { VirtualMembers } from './virtualMembers.js';

/** Bound on the time in which a failure is found. */
const detectionBoundMs = 3000;
const settleMs = 10_000;

function settled(count: number, perZone: number, seed: number): VirtualMembers {
  const members = new VirtualMembers(count, perZone, seededRandom(seed));
  members.run(settleMs);
  return members;
}

function roughLinks(members: VirtualMembers): void {
  Object.assign(members.links, { lossPermille: 50, minDelayMs: 1, maxDelayMs: 100 });
}

const sizes = [
  { count: 12, perZone: 2 },
  { count: 80, perZone: 80 },
  { count: 80, perZone: 10 },
] as const;

for (const { count, perZone } of sizes) {
  const layout = `${count} hosts, ${perZone} a zone`;

  test(`all hosts know each other soon after a common start: ${layout}`, (t) => {
    const members = new VirtualMembers(count, perZone, seededRandom(1));
    const tookMs = members.runUntil(() => members.allAlive(), settleMs);
    t.true(tookMs !== undefined && tookMs <= settleMs);
  });

  test(`a crash is found everywhere within the bound: ${layout}`, (t) => {
    for (const seed of [11, 12, 13, 14]) {
      const members = settled(count, perZone, seed);
      roughLinks(members);
      members.run(2000);
      const victim = `h${(seed * 7) % count}`;
      members.crash(victim);
      const tookMs = members.runUntil(() => members.allSee(victim, ['failed']), 10_000);
      t.true(tookMs !== undefined && tookMs <= detectionBoundMs, `seed ${seed}: ${tookMs} ms`);
    }
  });
}

test('with probes a second apart a crash is found within the bound, for half of the messages', (t) => {
  const atRest = (probeIntervalMs: number) => {
    const members = new VirtualMembers(78, 13, seededRandom(51), false, probeIntervalMs);
    members.run(settleMs);
    const before = members.traffic.messages;
    members.run(10_000);
    return { members, messages: members.traffic.messages - before };
  };
  const { members, messages } = atRest(1000);
  t.true(messages <= 0.6 * atRest(500).messages);
  roughLinks(members);
  members.run(2000);
  members.crash('h5');
  const tookMs = members.runUntil(() => members.allSee('h5', ['failed']), 10_000);
  t.true(tookMs !== undefined && tookMs <= detectionBoundMs, `${tookMs} ms`);
});

/** Faults that must count as failures; each says what it does to a host. */
const silentFaults = [
  {
    fault: 'one-way cut of all it sends',
    apply: (m: VirtualMembers, v: string) =>
      Object.assign(m.links, { cut: (from: string) => from === v }),
  },
  {
    fault: 'one-way cut of all it receives',
    apply: (m: VirtualMembers, v: string) =>
      Object.assign(m.links, { cut: (_: string, to: string) => to === v }),
  },
  { fault: 'silent stall', apply: (m: VirtualMembers, v: string) => m.pause(v) },
] as const;

for (const { fault, apply } of silentFaults) {
  test(`counts as a failure of that host alone: ${fault}`, (t) => {
    for (const [seed, perZone] of [
      [21, 2],
      [22, 12],
      [23, 4],
    ] as const) {
      const members = settled(12, perZone, seed);
      const before = members.events.length;
      apply(members, 'h5');
      const tookMs = members.runUntil(() => members.allSee('h5', ['failed']), 10_000);
      t.true(tookMs !== undefined && tookMs <= detectionBoundMs, `seed ${seed}: ${tookMs} ms`);
      members.run(5000);
      const wrong = members.events
        .slice(before)
        .filter(
          (event) =>
            event.kind === 'memberFailed' && event.hostId !== 'h5' && event.noticedBy !== 'h5',
        );
      t.deepEqual(wrong, []);
    }
  });
}

test('nobody fails falsely in ten minutes of 5% loss and delays up to 100 ms', (t) => {
  for (const { count, perZone } of [
    { count: 12, perZone: 2 },
    { count: 80, perZone: 20 },
  ]) {
    const members = settled(count, perZone, 31);
    roughLinks(members);
    members.run(600_000);
    const failures = members.events.filter((event) => event.kind === 'memberFailed');
    t.deepEqual(failures, [], `${count} hosts`);
    t.true(members.allAlive() || members.runUntil(() => members.allAlive(), 2000) !== undefined);
  }
});

test('a restarted host replaces its former incarnation at once', (t) => {
  const members = settled(12, 2, 41);
  const before = members.machine('h0').find('h7')?.incarnation ?? 0;
  members.crash('h7');
  members.run(300);
  members.restart('h7');
  const renewed = () =>
    members.hostIds().every((by) => (members.machine(by).find('h7')?.incarnation ?? 0) > before);
  const tookMs = members.runUntil(renewed, 5000);
  t.true(tookMs !== undefined && tookMs <= 1500, `${tookMs} ms`);
  members.run(3000);
  t.true(members.allSee('h7', ['alive']));
});

test('a host that leaves is known to have left, not failed', (t) => {
  const members = settled(12, 2, 42);
  const before = members.events.length;
  members.leave('h3');
  const tookMs = members.runUntil(() => members.allSee('h3', ['left']), 5000);
  t.true(tookMs !== undefined && tookMs <= detectionBoundMs, `${tookMs} ms`);
  members.run(5000);
  const kinds = new Set(
    members.events.slice(before).map((event) => `${event.kind} ${event.hostId}`),
  );
  t.deepEqual([...kinds], ['memberLeft h3']);
});

test('a zone cut off for an hour sees itself only, and both sides meet again after the heal', (t) => {
  const members = settled(12, 2, 51);
  const inside = new Set(['h4', 'h5']);
  members.links.cut = (from, to) => inside.has(from) !== inside.has(to);
  members.run(detectionBoundMs + 500);
  t.true(members.allSee('h4', ['failed'], ['h5']));
  t.is(members.stateSeen('h5', 'h4'), 'alive');
  t.is(members.stateSeen('h5', 'h0'), 'failed');
  members.leave('h9');
  members.run(3_600_000);
  const before = members.events.length;
  members.links.cut = () => false;
  const rejoined = () =>
    members.hostIds().every((of) => of === 'h9' || members.allSee(of, ['alive'], ['h9']));
  const tookMs = members.runUntil(rejoined, 20_000);
  t.true(tookMs !== undefined && tookMs <= 10_000, `${tookMs} ms`);
  members.run(10_000);
  t.true(members.allSee('h9', ['left']), 'the departure inside the hour holds');
  const disturbed = members.events
    .slice(before)
    .filter((event) => !inside.has(event.noticedBy) && !inside.has(event.hostId));
  t.deepEqual(disturbed, []);
});

test('a host that stood still for an hour disturbs nobody when it goes on', (t) => {
  const members = settled(12, 2, 52);
  members.pause('h6');
  members.run(3_600_000);
  const before = members.events.length;
  members.resume('h6');
  const tookMs = members.runUntil(() => members.allAlive(), 20_000);
  t.true(tookMs !== undefined && tookMs <= 10_000, `${tookMs} ms`);
  const wrong = members.events
    .slice(before)
    .filter(
      (event) =>
        event.kind === 'memberFailed' ||
        (event.kind === 'memberSuspected' && event.noticedBy !== 'h6'),
    );
  t.deepEqual(wrong, []);
});

test('random schedules of crashes, pauses, cuts and restarts end with a common view', (t) => {
  for (let seed = 100; seed < 112; seed += 1) {
    const random = seededRandom(seed);
    const members = new VirtualMembers(20, 4, random);
    members.run(5000);
    roughLinks(members);
    for (let step = 0; step < 12; step += 1) {
      const hostId = `h${Math.floor(random() * 20)}`;
      const action = Math.floor(random() * 4);
      if (action === 0) members.crash(hostId);
      if (action === 1) members.restart(hostId);
      if (action === 2) members.pause(hostId);
      if (action === 3) {
        const zone = members.machine(hostId).ownEntry().identity.availabilityZone;
        const inZone = (id: string) =>
          members.machine(id).ownEntry().identity.availabilityZone === zone;
        members.links.cut = (from, to) => inZone(from) && !inZone(to);
      }
      members.run(Math.floor(random() * 4000));
      if (action === 2) members.resume(hostId);
    }
    members.links.cut = () => false;
    for (const hostId of members.hostIds()) members.restart(hostId);
    members.run(1000);
    members.crash('h0');
    members.links.lossPermille = 0;
    members.run(8000);
    const common = members
      .hostIds()
      .every((of) => members.allSee(of, of === 'h0' ? ['failed'] : ['alive']));
    t.true(common, `seed ${seed}`);
  }
});

/** Bytes a second that one host has for control, from the size that is planned for. */
const controlBytesPerS = 26_000;

test('a quarter of the hosts that are slow for a moment cost the others no more than they have for control', (t) => {
  const members = new VirtualMembers(80, 14, seededRandom(7), true);
  members.links.maxDelayMs = 60;
  members.run(settleMs);
  const before = members.traffic.bytes;
  const slow = members.hostIds().filter((_, index) => index % 4 === 0);
  for (const hostId of slow) members.pause(hostId);
  members.run(900);
  for (const hostId of slow) members.resume(hostId);
  members.run(100);
  t.true(members.traffic.bytes - before <= controlBytesPerS * 80);
  t.true((members.runUntil(() => members.allAlive(), settleMs) ?? Infinity) <= settleMs);
});

test('that a host holds its first document is known everywhere soon, also among many hosts', (t) => {
  const members = settled(80, 10, 3);
  members.setVersion('h7', 1);
  const isKnown = () =>
    members.hostIds().every((by) => members.machine(by).find('h7')?.documentVersion === 1);
  const tookMs = members.runUntil(isKnown, settleMs);
  t.true(tookMs !== undefined && tookMs <= detectionBoundMs, `${tookMs} ms`);
});

test('a new document version on every host costs 45 hosts hardly more than they send at rest', (t) => {
  const members = new VirtualMembers(45, 5, seededRandom(4), true);
  for (const hostId of members.hostIds()) members.setVersion(hostId, 1);
  members.run(30_000);
  const bytesOf = (changeVersions: boolean) => {
    const before = members.traffic.bytes;
    if (changeVersions) for (const hostId of members.hostIds()) members.setVersion(hostId, 2);
    members.run(settleMs);
    return members.traffic.bytes - before;
  };
  const atRest = bytesOf(false);
  const afterChange = bytesOf(true);
  t.true(afterChange < 1.1 * atRest, `${afterChange} bytes against ${atRest}`);
});
