import { failure } from '@buckthornlug/protocol/results/failure.js';
import { checkSettings } from '@buckthornlug/protocol/settings/settings.js';
import test from 'ava';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';

import { createMetrics } from '../metrics/metrics.js';
import type { HostParts } from '../runtime/hostParts.js';
import type { Clock } from '../runtime/hostTypes.js';
import { setProcessTimer, type SetTimer } from '../runtime/timers.js';
import { RoutingFollower, type RoutingFollowerParts } from './routingFollower.js';
import type { RoutingUpdate } from './routingPollSchema.js';
import { SourceSelector } from './sourceSelector.js';

const defaultSources = ['c1', 'c2', 'c3'];

const createSettings = (sources: readonly string[]) =>
  checkSettings({
    hostId: 'e1',
    region: 'north',
    availabilityZone: 'north-a',
    roles: ['entry'],
    listen: {
      callers: { address: '127.0.0.1', port: 1 },
      internal: { address: '127.0.0.1', port: 2 },
      admin: { address: '127.0.0.1', port: 3 },
    },
    peers: sources.map((hostId, index) => ({
      hostId,
      internal: { address: '127.0.0.1', port: 10 + index },
    })),
    clusterKeys: [{ id: 'k-1', secret: '0123456789abcdef' }],
    announceKeys: [{ id: 'k-1', secret: '0123456789abcdef' }],
  })._unsafeUnwrap();

function createUpdate(routingVersion: number, silentMs: number | null): RoutingUpdate {
  const position = { routingVersion, evacuationRevision: 0, registryRevision: 0 };
  return { position, backends: [], silentMs, wallMs: 0 };
}

/** Answers a poll of a source. */
type AnswerPoll = (source: string, send: unknown, timeoutMs: number) => unknown;

interface FollowerChanges extends Partial<
  Pick<RoutingFollowerParts, 'position' | 'confirm' | 'setTimer'> & Pick<Clock, 'onBreak'>
> {
  readonly sources?: readonly string[];
}

/** Creates a follower that appends the applied versions to a list and stops after the last one. */
function createFollower(
  request: AnswerPoll,
  nowMs: () => number,
  versions: number[],
  isLast: (version: number) => boolean,
  { sources = defaultSources, onBreak, ...changed }: FollowerChanges = {},
): RoutingFollower {
  const follower = new RoutingFollower({
    context: {
      settings: createSettings(sources),
      clock: { nowMs, wallMs: nowMs, ...(onBreak === undefined ? {} : { onBreak }) },
      metrics: createMetrics(),
      log: { debug() {}, info() {}, warn() {}, error() {} },
    },
    parts: {
      membership: { hosts: () => [] },
      peers: { request: request as unknown as HostParts['peers']['request'] },
    },
    position: () => createUpdate(versions.at(-1) ?? -1, 0).position,
    apply: ({ position }) => {
      versions.push(position.routingVersion);
      if (isLast(position.routingVersion)) follower.stop();
    },
    confirm: () => undefined,
    setTimer: setProcessTimer,
    ...changed,
  });
  return follower;
}

/** Runs a follower until it applies a version or 500 ms pass; returns all applied versions. */
async function collectAppliedVersions(
  answers: Readonly<Record<string, RoutingUpdate | undefined>>,
  until: number,
  startAtMs = 0,
  onRequest: (timeoutMs: number) => void = () => {},
  sources: readonly string[] = defaultSources,
): Promise<number[]> {
  const versions: number[] = [];
  let nowMs = 0;
  const request = (source: string, _send: unknown, timeoutMs: number) => {
    onRequest(timeoutMs);
    const answer = answers[source];
    return answer === undefined ? errAsync(failure('BL6003', 'no answer')) : okAsync(answer);
  };
  const isLast = (version: number) => version === until;
  const follower = createFollower(request, () => nowMs, versions, isLast, { sources });
  nowMs = startAtMs;
  const limit = setTimeout(() => follower.stop(), 500);
  await follower.run();
  clearTimeout(limit);
  return versions;
}

test('a starting host skips a control host that knows no leader', async (t) => {
  t.deepEqual(
    await collectAppliedVersions({ c1: createUpdate(33, null), c2: createUpdate(46, 20) }, 46),
    [46],
  );
});

test('a control host without leader contact for 1.5 s is skipped as well', async (t) => {
  t.deepEqual(
    await collectAppliedVersions({ c1: createUpdate(33, 1500), c2: createUpdate(46, 20) }, 46),
    [46],
  );
});

test('a starting host applies the state of control hosts without a leader in the end', async (t) => {
  t.deepEqual(await collectAppliedVersions({ c1: createUpdate(33, null) }, 33, 3000), [33]);
});

test('a source that does not answer is skipped for the next one', async (t) => {
  t.deepEqual(await collectAppliedVersions({ c3: createUpdate(46, 20) }, 46), [46]);
});

/** Runs a follower whose sources answer as given; returns the times it set timers for, pauses left out. */
async function collectPatienceMs(
  request: AnswerPoll,
  timers: number,
  hasEnded: (patienceMs: number) => boolean,
): Promise<number[]> {
  const pauseMs = 150;
  const patienceMs: number[] = [];
  let stop = (): void => undefined;
  const setTimer: SetTimer = (run, afterMs) => {
    if (afterMs !== pauseMs) patienceMs.push(afterMs);
    if (patienceMs.length >= timers) stop();
    const immediate = setImmediate(() => {
      if (afterMs === pauseMs || hasEnded(afterMs)) run();
    });
    return () => clearImmediate(immediate);
  };
  const follower = createFollower(
    request,
    () => 0,
    [],
    () => false,
    { setTimer },
  );
  stop = () => follower.stop();
  await follower.run();
  return patienceMs;
}

test('the patience for an answer grows once all sources have failed', async (t) => {
  const endless = new Promise<never>(() => {});
  const neverAnswered = () => new ResultAsync(endless);
  t.deepEqual(
    await collectPatienceMs(neverAnswered, 6, () => true),
    [1500, 500, 500, 1000, 1000, 1000],
  );
});

test('answers of sources that know no leader do not lengthen the patience', async (t) => {
  const patienceMs = await collectPatienceMs(
    () => okAsync(createUpdate(33, null)),
    20,
    () => false,
  );
  t.deepEqual(new Set(patienceMs.slice(1)), new Set([500]));
});

test('while no source knows a leader, a host polls at most twenty times a second', async (t) => {
  const sources = Array.from({ length: 18 }, (_, index) => `c${index + 1}`);
  let polls = 0;
  const answers = Object.fromEntries(sources.map((source) => [source, createUpdate(33, null)]));
  const startedAtMs = performance.now();
  const countPoll = () => {
    polls += 1;
  };
  await collectAppliedVersions(answers, 46, 0, countPoll, sources);
  const elapsedS = (performance.now() - startedAtMs) / 1000;
  t.true(polls <= 20 * elapsedS + 3, `${polls} polls in ${elapsedS} s`);
});

test('a source that knew no leader is polled again after a second', (t) => {
  const selector = new SourceSelector();
  selector.failed('near', 'noLeader', 0);
  t.is(selector.choose(['near', 'far'], 999), 'far');
  t.is(selector.choose(['near', 'far'], 1000), 'near');
});

test('a host returns to the nearest source seconds after that source failed', async (t) => {
  const polledSources: string[] = [];
  let nowMs = 0;
  const versions: number[] = [];
  const request = (source: string) => {
    polledSources.push(source);
    nowMs += 500;
    const isFailing = source === 'c1' && nowMs < 5000;
    return isFailing
      ? errAsync(failure('BL6003', 'no answer'))
      : okAsync(createUpdate(polledSources.length, 20));
  };
  const follower = createFollower(
    request,
    () => nowMs,
    versions,
    (version) => version === 60,
  );
  await follower.run();
  t.deepEqual(polledSources.slice(0, 3), ['c1', 'c2', 'c2']);
  t.is(polledSources.at(-1), 'c1');
  const pollsUntilReturn = polledSources.lastIndexOf('c2') + 1;
  t.true(pollsUntilReturn * 500 <= 15_000, `polled again after ${pollsUntilReturn} polls`);
});

const confirmations = [
  { answer: 'without changes', heldRevision: 7, confirmedAtMs: 980 },
  { answer: 'with changes', heldRevision: 6, confirmedAtMs: -20 },
];
for (const { answer, heldRevision, confirmedAtMs } of confirmations) {
  test(`an answer ${answer} confirms the state up to ${confirmedAtMs} ms after a poll that waits for 1 s`, async (t) => {
    const held = { routingVersion: 33, evacuationRevision: 2, registryRevision: heldRevision };
    const position = { ...held, registryRevision: 7 };
    let nowMs = 0;
    const confirmed: number[] = [];
    const request = () => {
      nowMs += 1080;
      return okAsync({ position, backends: [], silentMs: 20, wallMs: 0 });
    };
    const follower = createFollower(
      request,
      () => nowMs,
      [],
      () => false,
      {
        position: () => held,
        confirm: (atMs) => {
          confirmed.push(atMs);
          follower.stop();
        },
      },
    );
    await follower.run();
    t.deepEqual(confirmed, [confirmedAtMs]);
  });
}

test('an answer whose changes were not applied confirms nothing', async (t) => {
  const held = { routingVersion: 33, evacuationRevision: 0, registryRevision: 0 };
  const confirmed: number[] = [];
  let polls = 0;
  let stop = (): void => undefined;
  const request = () => {
    polls += 1;
    if (polls === 2) stop();
    return okAsync(createUpdate(34, 20));
  };
  const follower = createFollower(
    request,
    () => 0,
    [],
    () => false,
    { position: () => held, confirm: (atMs) => confirmed.push(atMs) },
  );
  stop = () => follower.stop();
  await follower.run();
  t.deepEqual(confirmed, []);
  t.is(polls, 2);
});

test('an answer to a poll from before a break of the clock confirms nothing', async (t) => {
  let nowMs = 100;
  let breakClock: (atMs: number, partingMs: number) => void = () => undefined;
  const confirmed: number[] = [];
  let polls = 0;
  const request = () => {
    polls += 1;
    nowMs += 10;
    if (polls === 1) breakClock(nowMs, 5000);
    nowMs += 1;
    return okAsync(createUpdate(33, 20));
  };
  const follower = createFollower(
    request,
    () => nowMs,
    [33],
    () => false,
    {
      onBreak: (listener) => {
        breakClock = listener;
        return () => undefined;
      },
      confirm: (atMs) => {
        confirmed.push(atMs);
        follower.stop();
      },
    },
  );
  await follower.run();
  t.is(polls, 2);
  t.deepEqual(confirmed, [1091]);
});
