import { SplitInForce } from '@buckthornlug/core/regionPlan/splitInForce.js';
import { failure } from '@buckthornlug/protocol/results/failure.js';
import type {
  DemandReply,
  DemandReport,
  RegionPlan,
} from '@buckthornlug/protocol/routing/regionPlanSchema.js';
import test from 'ava';
import { ResultAsync } from 'neverthrow';

import { createMetrics } from '../metrics/metrics.js';
import type { PeerClient, PeerRequest } from '../rpc/peerClients.js';
import { ManualTimers } from '../runtime/manualTimers.js';
import { DemandReporter, type DemandReporterParts } from './demandReporter.js';

type Settings = DemandReporterParts['context']['settings'];

const intervalMs = 2000;
/** Interval of a host that holds no plan yet. */
const firstIntervalMs = 500;
const noPlan: DemandReply = { isPlanWanted: false };
const log = { debug() {}, info() {}, warn() {}, error() {} };
const settings = {
  region: 'north',
  availabilityZone: 'north-a',
  peers: ['c1', 'c2', 'c3'].map((hostId) => ({ hostId })),
} as Settings;

function planWith(issue: number): RegionPlan {
  return { issue, splits: [{ service: 'desk', callerRegion: 'north', shares: { south: 1 } }] };
}

function replyWith(issue: number): DemandReply {
  return { plan: planWith(issue), isPlanWanted: false };
}

/** Answers a report; undefined if the request fails. */
type Answer = (source: string, report: DemandReport) => DemandReply | undefined;

/** An entry host that reports to control hosts that answer as given. */
class ReportingHost {
  readonly timers = new ManualTimers();

  readonly sources: string[] = [];

  readonly reports: DemandReport[] = [];

  readonly applied: number[] = [];

  preferred: string | undefined = 'c1';

  private takes = 0;

  readonly reporter: DemandReporter;

  constructor(answer: Answer, random = 0, apply: DemandReporterParts['apply'] = () => undefined) {
    const request = <Reply>(source: string, send: PeerRequest<Reply>) => {
      const mutate = async (report: DemandReport) => {
        this.sources.push(source);
        this.reports.push(report);
        const reply = answer(source, report);
        if (reply === undefined) throw new Error('no such procedure');
        return Promise.resolve(reply);
      };
      const client = { routing: { demand: { mutate } } } as unknown as PeerClient;
      return ResultAsync.fromPromise(send(client, new AbortController().signal), (error) =>
        failure('BL6003', String(error)),
      );
    };
    this.reporter = new DemandReporter({
      context: { settings, log, metrics: createMetrics(), random: () => random },
      parts: { membership: { hosts: () => [] }, peers: { request } },
      preferredSource: () => this.preferred,
      takeDemand: () => this.takeDemand(),
      apply: (plan) => {
        this.applied.push(plan.issue);
        apply(plan);
      },
      setTimer: this.timers.setTimer,
    });
  }

  /** Lets time pass until a number of further reports has been sent; returns that time. */
  async send(reports: number): Promise<number> {
    const startMs = this.timers.nowMs;
    const last = this.reports.length + reports;
    while (this.reports.length < last) await this.timers.pass(1);
    return this.timers.nowMs - startMs;
  }

  private takeDemand(): DemandReport['demand'] {
    this.takes += 1;
    const { takes } = this;
    return [
      {
        service: 'desk',
        callerRegion: 'north',
        offeredCalls: takes,
        runs: {},
        loads: {},
        activeObjects: 0,
      },
    ];
  }
}

test('a host reports its demand every two seconds to the control host that it follows', async (t) => {
  const host = new ReportingHost(() => replyWith(7));
  await host.send(2);
  t.is(await host.send(2), 2 * intervalMs);
  t.deepEqual(host.sources, ['c1', 'c1', 'c1', 'c1']);
  t.deepEqual(
    host.reports.map(({ demand }) => demand[0]?.offeredCalls),
    [1, 2, 3, 4],
  );
  t.false(host.reports.some(({ isForwarded }) => isForwarded));
});

test('a host without a plan asks more often, but not control hosts that keep failing', async (t) => {
  const waiting = new ReportingHost(() => noPlan);
  await waiting.send(2);
  t.is(await waiting.send(4), 4 * firstIntervalMs);
  const failing = new ReportingHost(() => undefined);
  await failing.send(10);
  t.is(await failing.send(4), 4 * intervalMs);
});

test('hosts that start together report at different times', async (t) => {
  const host = new ReportingHost(() => noPlan, 0.5);
  await host.timers.pass(firstIntervalMs / 2 - 1);
  t.is(host.reports.length, 0);
  await host.timers.pass(1);
  t.is(host.reports.length, 1);
});

test('a host sends its plan to a control host that wants it, and only then', async (t) => {
  let isPlanWanted = false;
  const host = new ReportingHost(() => ({ plan: planWith(7), isPlanWanted }));
  await host.send(2);
  isPlanWanted = true;
  await host.send(2);
  isPlanWanted = false;
  await host.send(2);
  t.deepEqual(
    host.reports.map(({ plan }) => plan?.issue),
    [undefined, undefined, undefined, 7, 7, undefined],
  );
});

test('a new plan is applied once, and the next report says that it is held', async (t) => {
  const host = new ReportingHost(() => replyWith(7));
  await host.send(3);
  t.deepEqual(host.applied, [7]);
  t.deepEqual(
    host.reports.map(({ heldIssue }) => heldIssue),
    [0, 7, 7],
  );
});

test('a host never goes back to an older issue', async (t) => {
  const issues = [7, 6, 9, 8, 9];
  const host = new ReportingHost(() => replyWith(issues.shift() ?? 0));
  await host.send(5);
  t.deepEqual(host.applied, [7, 9]);
});

test('after a failure a host reports to the next control host, then again to the one it follows', async (t) => {
  let isC1Down = true;
  const host = new ReportingHost((source) => (source === 'c1' && isC1Down ? undefined : noPlan));
  await host.send(2);
  t.deepEqual(host.sources, ['c1', 'c2']);
  isC1Down = false;
  await host.send(2);
  t.deepEqual(host.sources, ['c1', 'c2', 'c1', 'c1']);
});

test('while all control hosts fail, a host tries them in turn', async (t) => {
  const host = new ReportingHost(() => undefined);
  await host.send(7);
  t.deepEqual(host.sources, ['c1', 'c2', 'c3', 'c1', 'c2', 'c3', 'c1']);
});

for (const preferred of ['c2', 'c3']) {
  test(`after ${preferred} fails, which is not the nearest, another control host is asked`, async (t) => {
    const host = new ReportingHost(() => undefined);
    host.preferred = preferred;
    await host.send(2);
    t.is(host.sources[0], preferred);
    t.not(host.sources[1], preferred);
  });
}

test('a host that follows no control host reports to the nearest', async (t) => {
  const host = new ReportingHost(() => noPlan);
  host.preferred = undefined;
  await host.send(1);
  t.deepEqual(host.sources, ['c1']);
});

test('a host keeps its plan while reports fail', async (t) => {
  let isDown = false;
  const host = new ReportingHost(() => (isDown ? undefined : replyWith(7)));
  await host.send(1);
  isDown = true;
  await host.send(5);
  t.deepEqual(host.applied, [7]);
  t.is(host.reports.at(-1)?.heldIssue, 7);
});

test('control hosts of an earlier version, which lack the procedure, leave the initial split in force', async (t) => {
  const slots = new Map([
    ['north', 2],
    ['south', 18],
  ]);
  const split = new SplitInForce('north', 0.2, 0);
  split.set(undefined, slots, 0);
  const initial = split.at(0);
  const host = new ReportingHost(
    () => undefined,
    0,
    ({ splits }) => split.set(splits[0]?.shares, slots, host.timers.nowMs),
  );
  await host.send(10);
  t.is(host.reports.length, 10);
  t.deepEqual(split.at(host.timers.nowMs), initial);
});

test('while control hosts are updated one by one, a host gets the plan from one that has it', async (t) => {
  const host = new ReportingHost((source) => (source === 'c3' ? replyWith(7) : undefined));
  await host.send(3);
  t.deepEqual(host.applied, [7]);
});

test('a reporter that is stopped sends no more', async (t) => {
  const host = new ReportingHost(() => noPlan);
  await host.send(2);
  host.reporter.stop();
  t.is(host.timers.pendingCount, 0);
});
