import test from 'ava';

import { checkSettings } from './settings.js';

function sampleSettings(): Record<string, unknown> {
  return {
    hostId: 'north-1',
    region: 'north',
    availabilityZone: 'north-a',
    roles: ['entry'],
    listen: {
      callers: { address: '127.0.0.1', port: 7001 },
      internal: { address: '127.0.0.1', port: 7002 },
      admin: { address: '127.0.0.1', port: 7003 },
    },
    clusterKeys: [{ id: 'cluster-1', secret: '0123456789abcdef' }],
    announceKeys: [{ id: 'announce-1', secret: '0123456789abcdef' }],
  };
}

/** Rows: changed settings and expected fault path. */
const invalidSettings: readonly (readonly [Record<string, unknown>, string])[] = [
  [{ hostId: 'North 1' }, 'hostId'],
  [{ roles: [] }, 'roles'],
  [{ roles: ['control'] }, 'dataFolder'],
  [{ clusterKeys: [{ id: 'cluster-1', secret: 'short' }] }, 'clusterKeys/0/secret'],
  [{ groups: [{ id: 'control', members: ['elsewhere'] }] }, 'groups/0/members/0'],
  [{ timing: { heartbeatMs: 0 } }, 'timing/heartbeatMs'],
  // A timer that is set beyond 2^31 - 1 ms would fire after 1 ms, again and again.
  [{ timing: { documentPollMs: 2 ** 31 } }, 'timing/documentPollMs'],
  [{ limits: { idleBodyTimeoutMs: 1e300 } }, 'limits/idleBodyTimeoutMs'],
  [{ routing: { reportIntervalMs: 2 ** 31 } }, 'routing/reportIntervalMs'],
  [{ listen: { callers: { address: 'localhost', port: 7001 } } }, 'listen/callers/address'],
];

for (const [change, path] of invalidSettings) {
  test(`settings with ${JSON.stringify(change)} are refused at ${path}`, (t) => {
    const checked = checkSettings({ ...sampleSettings(), ...change });
    t.true(checked.isErr());
    if (checked.isOk()) return;
    t.is(checked.error.code, 'BL1003');
    t.true(checked.error.faults?.some((fault) => fault.path === path));
  });
}

test('absent settings get their defaults', (t) => {
  const settings = checkSettings(sampleSettings())._unsafeUnwrap();
  t.is(settings.timing.heartbeatMs, 150);
  t.is(settings.logLevel, 'info');
  t.deepEqual(settings.peers, []);
});
