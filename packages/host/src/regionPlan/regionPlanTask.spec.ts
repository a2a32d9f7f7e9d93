import { failure } from '@buckthornlug/protocol/results/failure.js';
import type {
  DemandReport,
  RegionDemand,
  RegionPlan,
} from '@buckthornlug/protocol/routing/regionPlanSchema.js';
import { routingSettingsSchema } from '@buckthornlug/protocol/settings/settingsSchema.js';
import test from 'ava';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';

import { createMetrics } from '../metrics/metrics.js';
import type { PeerClient, PeerRequest } from '../rpc/peerClients.js';
import { ManualTimers } from '../runtime/manualTimers.js';
import { RegionPlanTask, type RegionPlanTaskParts } from './regionPlanTask.js';

type Settings = RegionPlanTaskParts['context']['settings'];
type Machine = RegionPlanTaskParts['control']['machine'];

const stepMs = 1000;
/** Time after which a leader has planned: it first waits for hosts that hold a plan. */
const firstPlanMs = 6 * stepMs;
const maxShiftPermille = 200;
/** Largest step of the plan: a quarter of the cap in two seconds, and rounding. */
const maxStep = maxShiftPermille / 1000 / 8 + 1e-9;
const routing = routingSettingsSchema.parse({
  maxShiftPermille,
  regionOfZone: { 'north-a': 'north', 'south-a': 'south', 'south-b': 'south' },
});
const log = { debug() {}, info() {}, warn() {}, error() {} };

interface FakeBackend {
  readonly availabilityZone: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
}

/** Control hosts whose reports reach each other. */
class ControlHosts {
  readonly timers = new ManualTimers();

  leaderId: string | undefined = 'c1';

  backends: readonly FakeBackend[] = [
    { availabilityZone: 'north-a', slots: 10, state: 'ready' },
    { availabilityZone: 'south-a', slots: 10, state: 'ready' },
  ];

  evacuatedZones: readonly string[] = [];

  /** Whether the control group confirms that a leader has caught up. */
  canCatchUp = true;

  readonly sent: { readonly to: string; readonly report: DemandReport }[] = [];

  private readonly tasks = new Map<string, RegionPlanTask>();

  /**
   * Adds a control host.
   *
   * @param wallMs - wall-clock time of the host
   */
  start(hostId: string, wallMs = () => 1000 + this.timers.nowMs): RegionPlanTask {
    const task = new RegionPlanTask({
      context: {
        settings: { routing } as Settings,
        clock: { nowMs: () => this.timers.nowMs, wallMs },
        log,
        metrics: createMetrics(),
      },
      parts: { peers: { request: (to, send) => this.request(to, send) } },
      control: {
        isLeader: () => this.leaderId === hostId,
        leaderId: () => this.leaderId,
        readBarrier: () =>
          this.canCatchUp ? okAsync(undefined) : errAsync(failure('BL6003', 'no quorum')),
        machine: this.machine(),
      },
      setTimer: this.timers.setTimer,
    });
    this.tasks.set(hostId, task);
    return task;
  }

  stop(hostId: string): void {
    this.tasks.get(hostId)?.stop();
    this.tasks.delete(hostId);
  }

  private request<Reply>(to: string, send: PeerRequest<Reply>) {
    const mutate = async (report: DemandReport) => {
      const task = this.tasks.get(to);
      this.sent.push({ to, report });
      if (task === undefined) throw new Error('not reachable');
      return Promise.resolve(task.receive(report));
    };
    const client = { routing: { demand: { mutate } } } as unknown as PeerClient;
    return ResultAsync.fromPromise(send(client, new AbortController().signal), (error) =>
      failure('BL6003', String(error)),
    );
  }

  private machine(): Machine {
    const machine = {
      routing: {
        current: () => ({ services: [{ service: 'desk' }] }),
        evacuationRecords: () =>
          this.evacuatedZones.map((availabilityZone) => ({ availabilityZone, isEvacuated: true })),
      },
      registry: {
        records: () => this.backends.map((backend) => ({ ...backend, service: 'desk' })),
      },
    };
    return machine as unknown as Machine;
  }
}

/** Demand of the north with three calls for each of its slots. */
const overload: RegionDemand = {
  service: 'desk',
  callerRegion: 'north',
  offeredCalls: 100,
  runs: { north: 100 },
  loads: { north: { calls: 30, slots: 10 }, south: { calls: 1, slots: 10 } },
  activeObjects: 10,
};

function reportOf(demand: readonly RegionDemand[], heldIssue = 0): DemandReport {
  return { heldIssue, isForwarded: false, demand: [...demand] };
}

/** The plan that a control host answers with to a host that holds none. */
function planOf(task: RegionPlanTask): RegionPlan | undefined {
  return task.receive(reportOf([])).plan;
}

function northShares(task: RegionPlanTask) {
  const splits = planOf(task)?.splits ?? [];
  return splits.find(({ callerRegion }) => callerRegion === 'north')?.shares;
}

test('the leader plans the initial split before it knows any demand', async (t) => {
  const hosts = new ControlHosts();
  const leader = hosts.start('c1');
  t.is(planOf(leader), undefined);
  await hosts.timers.pass(firstPlanMs);
  t.snapshot(planOf(leader)?.splits);
});

test('the leader moves calls of an overloaded region in steps', async (t) => {
  const hosts = new ControlHosts();
  const leader = hosts.start('c1');
  await hosts.timers.pass(firstPlanMs);
  const issues = new Set([planOf(leader)?.issue]);
  let before = 1;
  for (let step = 0; step < 10; step += 1) {
    leader.receive(reportOf([overload]));
    await hosts.timers.pass(stepMs);
    const share = northShares(leader)?.north ?? 1;
    t.true(share < before);
    t.true(before - share <= maxStep);
    before = share;
    issues.add(planOf(leader)?.issue);
  }
  t.is(issues.size, 11);
});

test('a plan that does not change keeps its issue, and is sent to hosts that do not hold it', async (t) => {
  const hosts = new ControlHosts();
  const leader = hosts.start('c1');
  await hosts.timers.pass(firstPlanMs);
  const { issue } = planOf(leader) ?? {};
  await hosts.timers.pass(20 * stepMs);
  t.is(planOf(leader)?.issue, issue);
  t.deepEqual(leader.receive(reportOf([], issue)), { isPlanWanted: false });
  t.truthy(leader.receive(reportOf([], (issue ?? 0) - 1)).plan);
});

test('backend servers that drain or are evacuated get no share', async (t) => {
  const hosts = new ControlHosts();
  hosts.backends = [
    { availabilityZone: 'north-a', slots: 10, state: 'draining' },
    { availabilityZone: 'south-a', slots: 10, state: 'ready' },
  ];
  const leader = hosts.start('c1');
  await hosts.timers.pass(firstPlanMs);
  t.deepEqual(northShares(leader), { south: 1 });
  hosts.backends = hosts.backends.map((backend) => ({ ...backend, state: 'ready' as const }));
  hosts.evacuatedZones = ['south-a'];
  await hosts.timers.pass(stepMs);
  t.deepEqual(northShares(leader), { north: 1 });
});

test('another control host forwards the merged demand to the leader and spreads its plan', async (t) => {
  const hosts = new ControlHosts();
  const leader = hosts.start('c1');
  const other = hosts.start('c2');
  await hosts.timers.pass(firstPlanMs + stepMs);
  t.deepEqual(planOf(other), planOf(leader));
  for (let step = 0; step < 5; step += 1) {
    other.receive(reportOf([overload]));
    other.receive(reportOf([overload]));
    await hosts.timers.pass(stepMs);
  }
  const last = hosts.sent.at(-1);
  t.is(last?.to, 'c1');
  t.true(last?.report.isForwarded);
  t.deepEqual(
    last?.report.demand.map(({ offeredCalls }) => offeredCalls),
    [200],
  );
  t.true((northShares(leader)?.north ?? 1) < 0.95);
  await hosts.timers.pass(stepMs);
  t.deepEqual(planOf(other), planOf(leader));
});

test('a control host forwards each report once', async (t) => {
  const hosts = new ControlHosts();
  hosts.start('c1');
  const other = hosts.start('c2');
  other.receive(reportOf([overload]));
  await hosts.timers.pass(3 * stepMs);
  const forwarded = hosts.sent.map(({ report }) => report.demand.length);
  t.deepEqual(forwarded, [1, 0, 0]);
});

test('demand that is forwarded to a former leader is dropped, and answered with its plan', async (t) => {
  const hosts = new ControlHosts();
  const former = hosts.start('c1');
  await hosts.timers.pass(firstPlanMs);
  hosts.leaderId = 'c3';
  const { plan } = former.receive({ heldIssue: 0, isForwarded: true, demand: [overload] });
  t.truthy(plan);
  await hosts.timers.pass(stepMs);
  t.deepEqual(
    hosts.sent.map(({ to, report }) => [to, report.demand.length]),
    [['c3', 0]],
  );
});

test('without a leader nothing is sent, and the plan is still spread', async (t) => {
  const hosts = new ControlHosts();
  const former = hosts.start('c1');
  await hosts.timers.pass(firstPlanMs);
  const plan = planOf(former);
  hosts.leaderId = undefined;
  former.receive(reportOf([overload]));
  await hosts.timers.pass(10 * stepMs);
  t.deepEqual(hosts.sent, []);
  t.deepEqual(planOf(former), plan);
});

test('a control host keeps its plan while the leader does not answer', async (t) => {
  const hosts = new ControlHosts();
  hosts.start('c1');
  const other = hosts.start('c2');
  await hosts.timers.pass(firstPlanMs + stepMs);
  const plan = planOf(other);
  t.truthy(plan);
  hosts.stop('c1');
  await hosts.timers.pass(10 * stepMs);
  t.deepEqual(planOf(other), plan);
});

test('a new leader goes on from the plan that it holds, also with a clock that is behind', async (t) => {
  const hosts = new ControlHosts();
  const former = hosts.start('c1');
  const next = hosts.start('c2', () => 0);
  for (let step = 0; step < 20; step += 1) {
    former.receive(reportOf([overload]));
    await hosts.timers.pass(stepMs);
  }
  await hosts.timers.pass(stepMs);
  const { north = 1 } = northShares(former) ?? {};
  const { issue = 0 } = planOf(former) ?? {};
  t.true(north < 0.7);
  hosts.leaderId = 'c2';
  next.receive(reportOf([overload]));
  await hosts.timers.pass(3 * stepMs);
  t.true(Math.abs((northShares(next)?.north ?? 1) - north) <= 2 * maxStep);
  next.receive(reportOf([overload]));
  // Without further reports the plan settles, and the former leader asks for the last one.
  await hosts.timers.pass(30 * stepMs);
  t.true((planOf(next)?.issue ?? 0) > issue);
  t.deepEqual(planOf(former), planOf(next));
});

test('a former leader that leads again goes on from the plan of the leader in between', async (t) => {
  const hosts = new ControlHosts();
  const first = hosts.start('c1');
  const second = hosts.start('c2');
  await hosts.timers.pass(firstPlanMs + stepMs);
  hosts.leaderId = 'c2';
  for (let step = 0; step < 20; step += 1) {
    second.receive(reportOf([overload]));
    await hosts.timers.pass(stepMs);
  }
  await hosts.timers.pass(stepMs);
  const { north = 1 } = northShares(second) ?? {};
  t.true(north < 0.7);
  hosts.leaderId = 'c1';
  await hosts.timers.pass(firstPlanMs);
  // The plan that it holds can be a step old, since it asks the leader once a second.
  t.true(Math.abs((northShares(first)?.north ?? 1) - north) <= maxStep);
});

test('a leader plans only once it has applied what was committed before', async (t) => {
  const hosts = new ControlHosts();
  hosts.canCatchUp = false;
  const leader = hosts.start('c1');
  await hosts.timers.pass(10 * stepMs);
  t.is(planOf(leader), undefined);
  hosts.canCatchUp = true;
  await hosts.timers.pass(firstPlanMs);
  t.truthy(planOf(leader));
});

const heldPlan: RegionPlan = {
  issue: 90_000,
  splits: ['north', 'south'].map((callerRegion) => ({
    service: 'desk',
    callerRegion,
    shares: { north: 0.25, south: 0.75 },
  })),
};

test('a leader without a plan asks for one that is held, and goes on from it', async (t) => {
  const hosts = new ControlHosts();
  const leader = hosts.start('c1', () => 500);
  t.deepEqual(leader.receive(reportOf([overload], heldPlan.issue)), { isPlanWanted: true });
  await hosts.timers.pass(5 * stepMs);
  t.is(planOf(leader), undefined);
  leader.receive({ ...reportOf([overload], heldPlan.issue), plan: heldPlan });
  await hosts.timers.pass(stepMs);
  t.true((planOf(leader)?.issue ?? 0) >= heldPlan.issue);
  t.true(
    Math.abs((northShares(leader)?.north ?? 1) - 0.25) <= maxStep,
    `${northShares(leader)?.north}`,
  );
});

test('a leader without a plan gets the one that a host has sent to another control host', async (t) => {
  const hosts = new ControlHosts();
  const leader = hosts.start('c1');
  const other = hosts.start('c2');
  t.true(other.receive(reportOf([], heldPlan.issue)).isPlanWanted);
  other.receive({ ...reportOf([], heldPlan.issue), plan: heldPlan });
  await hosts.timers.pass(5 * stepMs);
  t.true((planOf(leader)?.issue ?? 0) >= heldPlan.issue);
  t.true(
    Math.abs((northShares(leader)?.north ?? 1) - 0.25) <= maxStep,
    `${northShares(leader)?.north}`,
  );
});

test('a plan that no host holds any more is not waited for', async (t) => {
  const hosts = new ControlHosts();
  const leader = hosts.start('c1');
  leader.receive(reportOf([], heldPlan.issue));
  for (let step = 0; step < 60; step += 1) {
    leader.receive(reportOf([overload]));
    await hosts.timers.pass(stepMs);
  }
  t.true((planOf(leader)?.issue ?? 0) > heldPlan.issue);
});

test('a plan that a host holds with a higher issue than the leader is replaced', async (t) => {
  const hosts = new ControlHosts();
  const leader = hosts.start('c1', () => 500);
  await hosts.timers.pass(firstPlanMs);
  t.truthy(planOf(leader));
  leader.receive(reportOf([], heldPlan.issue));
  await hosts.timers.pass(firstPlanMs);
  t.true((planOf(leader)?.issue ?? 0) > heldPlan.issue);
});

test('a task that is stopped sets no more timers', async (t) => {
  const hosts = new ControlHosts();
  hosts.start('c1');
  await hosts.timers.pass(5 * stepMs);
  hosts.stop('c1');
  t.is(hosts.timers.pendingCount, 0);
});
