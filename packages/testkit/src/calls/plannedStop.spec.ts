import test from 'ava';

import { startBenchHost, type BenchHost } from '../bench/benchHost.js';
import { createFakeCaller, type CallerResult, type FakeCaller } from '../fakes/fakeCaller.js';
import { startFakeBackend, type FakeBackend } from '../fakes/fakeBackend.js';
import { createFleetSettings, testAnnounceKey } from '../fakes/hostSettings.js';
import { loopbackAddress } from '../fakes/loopback.js';
import { createTestDocument, testHostName, testService } from '../fakes/testDocument.js';
import { until } from './callFleet.js';

const callers = 8;
const lookupTtlMs = 300;
const callsBeforeStop = 200;

const settings = createFleetSettings([
  { hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a' },
  { hostId: 'a2', region: 'lagos', availabilityZone: 'lagos-a' },
]);
const document = createTestDocument({ lookupTtlMs, timeLimitMs: 2000 });

/** Results of callers that call without pause until they are told to end. */
interface Load {
  readonly results: CallerResult[];
  readonly end: () => Promise<void>;
}

function startLoad(fakeCallers: readonly FakeCaller[]): Load {
  const results: CallerResult[] = [];
  let isEnding = false;
  const callOn = async (caller: FakeCaller) => {
    while (!isEnding) {
      results.push(await caller.call({ method: 'GET', path: '/catalogue/poles' }));
    }
    await caller.stop();
  };
  const running = fakeCallers.map(callOn);
  return {
    results,
    end: async () => {
      isEnding = true;
      await Promise.all(running);
    },
  };
}

test('a planned stop under load cuts no call', async (t) => {
  const hosts: BenchHost[] = [];
  for (const entry of settings) hosts.push(await startBenchHost(entry, document));
  const callersListeners = settings.map((entry) => entry.listen.callers);
  const backends: FakeBackend[] = await Promise.all(
    [1, 2, 3, 4].map((number) =>
      startFakeBackend({
        backendId: `backend-${number}`,
        service: testService,
        availabilityZone: 'lagos-a',
        endpoint: { address: loopbackAddress(100 + number), port: 7100 },
        hosts: number % 2 === 0 ? callersListeners : [...callersListeners].reverse(),
        announceKey: testAnnounceKey,
        slots: callers,
        meanMs: 20,
        seed: number,
      }),
    ),
  );
  await Promise.all(backends.map((backend) => backend.whenAnnounced()));
  const load = startLoad(
    Array.from({ length: callers }, () =>
      createFakeCaller({
        hosts: callersListeners,
        service: testService,
        hostName: testHostName,
        attempts: 6,
        patienceMs: 5000,
      }),
    ),
  );
  try {
    await until(() => load.results.length >= callsBeforeStop, 20_000);
    const exitStatus = await hosts[0]!.stopAsPlanned();
    const atStop = load.results.length;
    await until(() => load.results.length >= atStop + callsBeforeStop, 20_000);
    await load.end();
    const attempts = load.results.flatMap((result) => result.attempts);
    const cut = attempts.filter((result) => result === 'broken' || result === 'hungUp');
    const toStopped = load.results.slice(atStop).filter((result) => result.hostId === 'a1');
    t.deepEqual(
      { exitStatus, cut: cut.length, toStopped: toStopped.length },
      { exitStatus: 0, cut: 0, toStopped: 0 },
    );
    t.true(load.results.every((result) => result.result === 'answered'));
  } finally {
    await load.end();
    await Promise.all(backends.map((backend) => backend.kill()));
    await Promise.all(hosts.map((host) => host.stop()));
  }
});
