import { RoutingFollower } from '@buckthornlug/host/routing/routingFollower.js';
import type { RoutingPoll, RoutingUpdate } from '@buckthornlug/host/routing/routingPollSchema.js';
import type { HostParts } from '@buckthornlug/host/runtime/hostParts.js';
import { createMetrics } from '@buckthornlug/host/metrics/metrics.js';
import { failure } from '@buckthornlug/protocol/results/failure.js';
import test from 'ava';
import { ResultAsync } from 'neverthrow';

import { VirtualTime } from '../time/virtualTime.js';
import { createFollowerSettings } from './followerSettings.js';

/** Shortest bound of the deployments on the time from the departure of a backend server to its last call. */
const departureBoundMs = 2500;
const changeIntervalMs = 100;
const quietUntilMs = 3000;
/** Time for which a source collects changes before it answers. */
const collectMs = 400;
const sourceIds = Array.from({ length: 9 }, (_, index) => `c${index + 1}`);

/** Time that a poll needs to its source and back; undefined for one that gets no answer. */
type RoundTrip = (source: string, nowMs: number) => number | undefined;

const settings = createFollowerSettings(sourceIds);

const revisionAt = (atMs: number) =>
  Math.max(0, Math.floor((atMs - quietUntilMs) / changeIntervalMs));

interface Following {
  /** Age of the state held, at its largest. */
  readonly oldestMs: number;
  readonly polls: number;
}

/** Follows nine sources of a registry that is quiet for 3 s and then changes constantly, in virtual time. */
async function follow(roundTrip: RoundTrip, untilMs: number): Promise<Following> {
  const time = new VirtualTime();
  let held = { routingVersion: -1, evacuationRevision: 0, registryRevision: 0 };
  /** Time at which a source made the newest update applied. */
  let madeAtMs = 0;
  let polls = 0;
  const answer = (sentAtMs: number): RoutingUpdate => ({
    position: {
      routingVersion: 1,
      evacuationRevision: 0,
      registryRevision: revisionAt(sentAtMs),
    },
    backends: [],
    silentMs: 0,
    wallMs: sentAtMs,
  });
  const request: HostParts['peers']['request'] = (source, send, timeoutMs = 0) => {
    polls += 1;
    const query = ({ waitMs }: RoutingPoll) =>
      new Promise((resolve) => {
        const roundTripMs = roundTrip(source, time.nowMs);
        if (roundTripMs === undefined) return;
        const isQuiet = revisionAt(time.nowMs + roundTripMs / 2 + waitMs) === 0;
        const heldMs = isQuiet ? waitMs : Math.min(waitMs, collectMs);
        const answeredInMs = roundTripMs / 2 + heldMs;
        const update = answer(time.nowMs + answeredInMs);
        time.schedule(answeredInMs + roundTripMs / 2, () => resolve(update));
      });
    const client = { routing: { pollChanges: { query } } };
    const timedOut = new Promise<never>((_, reject) => {
      time.schedule(timeoutMs, () => reject(new Error(`no reply in ${timeoutMs} ms`)));
    });
    const reply = Promise.race([send(client as never, new AbortController().signal), timedOut]);
    return ResultAsync.fromPromise(reply, (error) => failure('BL6003', String(error)));
  };
  const ignore = () => undefined;
  const follower = new RoutingFollower({
    context: {
      settings,
      clock: { nowMs: () => time.nowMs, wallMs: () => time.nowMs },
      metrics: createMetrics(),
      log: { debug: ignore, info: ignore, warn: ignore, error: ignore },
    },
    parts: { membership: { hosts: () => [] }, peers: { request } },
    position: () => held,
    apply: ({ position, wallMs }) => {
      if (position.registryRevision > held.registryRevision) held = position;
      madeAtMs = Math.max(madeAtMs, wallMs);
    },
    confirm: ignore,
    setTimer: (run, afterMs) => {
      let isCancelled = false;
      time.schedule(afterMs, () => {
        if (!isCancelled) run();
      });
      return () => {
        isCancelled = true;
      };
    },
  });
  const running = follower.run();
  let oldestMs = 0;
  for (let atMs = 0; atMs <= untilMs; atMs += 50) {
    await time.runUntil(atMs);
    oldestMs = Math.max(oldestMs, atMs - madeAtMs);
  }
  follower.stop();
  await time.runUntil(untilMs + 10_000);
  await running;
  return { oldestMs, polls };
}

test('sources that all answer after 700 ms keep a host up to date', async (t) => {
  const { oldestMs, polls } = await follow(() => 700, 10_000);
  t.true(oldestMs <= departureBoundMs, `state of ${oldestMs} ms`);
  t.true(polls <= 25, `${polls} polls in 10 s`);
});

test('round trips that grow to 1.2 s and shrink again keep a host up to date', async (t) => {
  const roundTrip: RoundTrip = (_, nowMs) => (nowMs > 3000 && nowMs < 9000 ? 1200 : 20);
  const { oldestMs, polls } = await follow(roundTrip, 15_000);
  t.true(oldestMs <= departureBoundMs, `state of ${oldestMs} ms`);
  t.true(polls <= 40, `${polls} polls in 15 s`);
});

test('a source that dies is noticed and replaced within the bound', async (t) => {
  const roundTrip: RoundTrip = (source, nowMs) =>
    source === 'c1' && nowMs > 3000 ? undefined : 20;
  const { oldestMs } = await follow(roundTrip, 15_000);
  t.true(oldestMs <= departureBoundMs, `state of ${oldestMs} ms`);
});

test('a source that is slow by itself is left for one that answers soon', async (t) => {
  const roundTrip: RoundTrip = (source, nowMs) => (source === 'c1' && nowMs > 3000 ? 3000 : 20);
  const { oldestMs } = await follow(roundTrip, 15_000);
  t.true(oldestMs <= departureBoundMs, `state of ${oldestMs} ms`);
});
