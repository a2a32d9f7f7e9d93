import { RoutingStore } from '@buckthornlug/core/routing/routingStore.js';
import { RoutingFollower } from '@buckthornlug/host/routing/routingFollower.js';
import type { RoutingPoll } from '@buckthornlug/host/routing/routingPollSchema.js';
import { RoutingServer } from '@buckthornlug/host/routing/routingServer.js';
import { RoutingState } from '@buckthornlug/host/routing/routingState.js';
import type { HostParts } from '@buckthornlug/host/runtime/hostParts.js';
import { createMetrics } from '@buckthornlug/host/metrics/metrics.js';
import { failure } from '@buckthornlug/protocol/results/failure.js';
import type { Route, RoutingDocument } from '@buckthornlug/protocol/routing/routingSchema.js';
import test from 'ava';
import { ResultAsync } from 'neverthrow';

import { createSeededRandom } from '../fakes/seededRandom.js';
import { VirtualTime } from '../time/virtualTime.js';
import { createFollowerSettings } from './followerSettings.js';

/**
 * Entry hosts that follow control hosts while documents change, in virtual time: answers are late or lost, control hosts
 * lag behind each other and restart, entry hosts restart.
 */

const sourceIds = ['c1', 'c2', 'c3'];
const ignore = () => undefined;

const settings = createFollowerSettings(sourceIds);

const routeOf = (number: number, targetMs: number): Route => ({
  routeId: `r-${number}`,
  hostName: `host-${number % 5}.example`,
  pathPrefix: `/${number}/`,
  targets: [{ service: 'desk', weight: 1 }],
  execution: 'single',
  timeLimitMs: 1000,
  targetMs,
  rank: 0,
  maxAttempts: 2,
  hasAffinity: false,
  homeRegions: [],
});

const desk = {
  service: 'desk',
  healthPath: '/health',
  connectionLimit: 10,
  coldStartMs: 0,
  coldCallsPerS: 1,
};

const byId = (routes: readonly Route[]): readonly Route[] =>
  [...routes].sort((left, right) => left.routeId.localeCompare(right.routeId));

/** A committed document. */
interface Commit {
  readonly atMs: number;
  readonly document: RoutingDocument;
}

/** A control host that applies the committed documents in order, each a while after its commit. */
class ControlHost {
  private store = new RoutingStore();

  private server = this.createServer();

  private appliedCommits = 0;

  constructor(
    private readonly commits: readonly Commit[],
    private readonly nowMs: () => number,
    private readonly lagMs: () => number,
  ) {}

  /** Starts again from a snapshot, without its former versions. */
  restart(): void {
    const { store } = this;
    this.store = new RoutingStore();
    this.store.restore(store.snapshot());
    this.server = this.createServer();
  }

  catchUp(): void {
    for (const { atMs, document } of this.commits.slice(this.appliedCommits)) {
      if (atMs + this.lagMs() > this.nowMs()) return;
      this.store.replace({ type: 'replaceRouting', document });
      this.appliedCommits += 1;
    }
  }

  hasChanges({ routingVersion }: RoutingPoll): boolean {
    return this.store.version() > routingVersion;
  }

  answer(poll: RoutingPoll) {
    return this.server.poll({ ...poll, waitMs: 0 }, true);
  }

  private createServer(): RoutingServer {
    const registry = { revision: () => 0, changedSince: () => [] };
    const machine = { routing: this.store, registry } as never;
    const stateAgeMs = () => {
      const lacking = this.commits[this.appliedCommits];
      return lacking === undefined ? 0 : this.nowMs() - lacking.atMs;
    };
    return new RoutingServer({ machine, stateAgeMs, wallMs: () => this.nowMs() });
  }
}

/** Plays a seed; returns the number of versions that the entry host held. */
async function follow(seed: number): Promise<number> {
  const time = new VirtualTime();
  const random = createSeededRandom(seed);
  const nowMs = () => time.nowMs;
  const commits: Commit[] = [];
  const hosts = new Map(
    sourceIds.map((id) => [id, new ControlHost(commits, nowMs, () => random() * 400)]),
  );
  const commit = (): void => {
    const former = commits.at(-1)?.document ?? { version: 0, routes: [] };
    const kept = former.routes.filter(() => random() > 0.05);
    const routes = kept.map((one) => (random() > 0.1 ? one : { ...one, targetMs: 1 + random() }));
    const version = former.version + 1 + Math.floor(3 * random());
    for (let added = 0; added < 3; added += 1) {
      routes.unshift(routeOf(3 * version + added, 300));
    }
    const limits = { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMs: 1, idleTimeoutMs: 1 };
    const document = { version, routes, services: [desk], limits, source: '' };
    commits.push({ atMs: time.nowMs, document });
  };
  const request: HostParts['peers']['request'] = (source, send, timeoutMs = 0) => {
    const query = (poll: RoutingPoll) =>
      new Promise((resolve) => {
        if (random() < 0.1) return;
        const thereMs = random() * (random() < 0.1 ? 2000 : 50);
        const backMs = random() * (random() < 0.1 ? 2000 : 50);
        const answer = () => {
          const answered = hosts.get(source)?.answer(poll);
          time.schedule(backMs, () => resolve(answered));
        };
        time.schedule(thereMs, () => {
          if (hosts.get(source)?.hasChanges(poll) === true) answer();
          else time.schedule(poll.waitMs, answer);
        });
      });
    const client = { routing: { pollChanges: { query } } };
    const timedOut = new Promise<never>((_, reject) => {
      time.schedule(timeoutMs, () => reject(new Error(`no reply in ${timeoutMs} ms`)));
    });
    const reply = Promise.race([send(client as never, new AbortController().signal), timedOut]);
    return ResultAsync.fromPromise(reply, (error) => failure('BL6003', String(error)));
  };
  const heldVersions = new Set<number>();
  const startEntryHost = () => {
    const state = new RoutingState({ nowMs });
    const follower = new RoutingFollower({
      context: {
        settings,
        clock: { nowMs, wallMs: nowMs },
        metrics: createMetrics(),
        log: { debug: ignore, info: ignore, warn: ignore, error: ignore },
      },
      parts: { membership: { hosts: () => [] }, peers: { request } },
      position: () => state.position(),
      apply: (update) => {
        const formerVersion = state.position().routingVersion;
        state.apply(update);
        const { routingVersion } = state.position();
        if (routingVersion < formerVersion) throw new Error(`version ${formerVersion} reverted`);
      },
      confirm: (atMs) => state.confirm(atMs),
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
    return { state, follower, running: follower.run() };
  };
  const check = ({ state }: ReturnType<typeof startEntryHost>): void => {
    const { routingVersion } = state.position();
    if (state.table === undefined) return;
    const held = byId([...state.table.routesByHostName.values()].flat());
    const expected = commits.find(({ document }) => document.version === routingVersion);
    if (JSON.stringify(held) !== JSON.stringify(byId(expected?.document.routes ?? []))) {
      throw new Error(`at ${time.nowMs} ms version ${routingVersion} differs from the document`);
    }
    heldVersions.add(routingVersion);
    const confirmedAtMs = time.nowMs - state.unconfirmedMs();
    const lacked = commits.find(
      ({ atMs, document }) => atMs < confirmedAtMs && document.version > routingVersion,
    );
    if (lacked !== undefined) {
      throw new Error(`at ${time.nowMs} ms confirmed without version ${lacked.document.version}`);
    }
  };

  commit();
  let entry = startEntryHost();
  for (let atMs = 0; atMs < 60_000; atMs += 50) {
    if (random() < 0.05) commit();
    if (random() < 0.005) hosts.get(sourceIds[Math.floor(random() * 3)] ?? '')?.restart();
    for (const host of hosts.values()) if (random() < 0.9) host.catchUp();
    await time.runUntil(atMs);
    check(entry);
    if (random() >= 0.002) continue;
    entry.follower.stop();
    entry = startEntryHost();
  }
  entry.follower.stop();
  await time.runUntil(time.nowMs + 10_000);
  return heldVersions.size;
}

// Guards against changes that are applied to another version than their base, and confirmations without the document.
test('an entry host holds each version as it was committed, and confirms none that it lacks', async (t) => {
  let heldVersions = 0;
  for (let seed = 1; seed <= 20; seed += 1) {
    try {
      heldVersions += await follow(seed);
    } catch (error) {
      t.fail(`seed ${seed}: ${(error as Error).message}`);
    }
  }
  t.true(heldVersions > 20 * 20, `${heldVersions} versions`);
});
