import test from 'ava';

import { MembershipMachine } from './membership.js';

const endpoint = { address: '127.0.0.1', port: 1 };

function createMachine(hostId: string, incarnation: number): MembershipMachine {
  const identity = { hostId, region: 'r', availabilityZone: 'z', roles: ['entry'] };
  const endpoints = { internal: endpoint, callers: endpoint, admin: endpoint };
  const seeds = ['a', 'b']
    .filter((other) => other !== hostId)
    .map((other) => ({ hostId: other, region: 'r', availabilityZone: 'z', internal: endpoint }));
  const times = { tickMs: 100, probeIntervalMs: 500, directTimeoutMs: 200, suspicionMs: 1200 };
  const random = () => 0.5;
  return new MembershipMachine(
    { ...identity, ...endpoints },
    incarnation,
    { ...times, seeds },
    random,
    0,
  );
}

/** Delivers the messages of `from` to `to`, so that `to` knows the process. */
function introduce(from: MembershipMachine, to: MembershipMachine): void {
  for (let nowMs = 100; nowMs <= 1000; nowMs += 100) {
    for (const effect of from.tick(nowMs)) {
      if (effect.effect === 'send') to.receive(effect.message, nowMs);
    }
  }
}

test('versions reported by a former process are not recorded for the current one', (t) => {
  const machine = createMachine('a', 1);
  const held = { documentVersion: 5, shiftRevision: 3 };
  t.false(machine.recordVersions('b', 1, held), 'not known yet');
  introduce(createMachine('b', 1), machine);
  t.true(machine.recordVersions('b', 1, held));
  const find = () => machine.find('b');
  t.is(find()?.documentVersion, 5);
  introduce(createMachine('b', 2), machine);
  t.is(find()?.documentVersion, 0);
  t.true(machine.recordVersions('b', 1, held));
  t.is(find()?.documentVersion, 0);
  t.false(machine.recordVersions('b', 3, held), 'the process is not a member yet');
  t.true(machine.recordVersions('b', 2, held));
  t.is(find()?.documentVersion, 5);
});
