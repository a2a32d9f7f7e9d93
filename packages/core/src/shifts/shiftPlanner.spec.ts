import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import type { CommittedStep } from '@buckthornlug/protocol/shifts/shiftSchema.js';
import assert from 'node:assert/strict';
import test from 'ava';
import fc from 'fast-check';

import { ShiftAcknowledgements } from './shiftAcknowledgements.js';
import { planShifts, ShiftPlanner } from './shiftPlanner.js';
import { ShiftTable } from './shiftTable.js';

const service = 'shop';
const stepPermille = 100;
const stepIntervalMs = 1000;
const regionIds = ['north', 'south', 'west'];
const hostIds = regionIds.map((region) => `host-${region}`);

interface TrafficChange {
  readonly weights?: Record<string, number>;
  readonly drainedRegions?: string[];
  readonly drainedZones?: string[];
}

function buildDocument(traffic: TrafficChange): SteeringDocument {
  const shiftCap = { stepPermille, stepIntervalMs, maxShiftedCallsPerS: 10 };
  const kind = { id: 'all', match: {}, rank: 'only', execution: 'idempotent', timeLimitMs: 1000 };
  const checked = checkDocument({
    format: 1,
    teams: [{ id: 'team', sections: ['*'], keys: [{ id: 'k', secret: '0123456789abcdef' }] }],
    network: {
      regions: regionIds.map((id) => ({ id, availabilityZones: [`${id}-a`, `${id}-b`] })),
      zoneDelayMs: 1,
      callerDelayMs: 1,
    },
    ranks: [{ id: 'only', targetMs: 100, floorPermille: 0 }],
    services: { [service]: { hostNames: ['shop.test'], kinds: [kind] } },
    traffic: { [service]: { ...traffic, shiftCap } },
  });
  if (checked.isErr()) throw new Error(checked.error.detail);
  return checked.value;
}

/** A leader that plans over the committed table from its own acknowledgements. */
class Leader {
  readonly acknowledgements = new ShiftAcknowledgements();

  private readonly planner = new ShiftPlanner();

  constructor(
    public document: SteeringDocument,
    public documentVersion: number,
  ) {}

  plan(table: ShiftTable, failed: readonly string[], nowMs: number) {
    const alive = hostIds.filter((hostId) => !failed.some((region) => hostId.endsWith(region)));
    const input = {
      document: this.document,
      documentVersion: this.documentVersion,
      table,
      failedRegions: new Set(failed),
      acknowledgedAtMs: (step: CommittedStep) =>
        this.acknowledgements.acknowledgedAtMs(step, alive, nowMs),
      nowMs,
    };
    const plan = this.planner.plan(input);
    assert.deepEqual(plan, planShifts(input), 'the cached plan differs from a newly computed one');
    return plan;
  }
}

interface ScriptEntry {
  readonly atMs: number;
  readonly traffic?: TrafficChange;
  readonly failed?: string[];
  readonly newLeader?: boolean;
  readonly unacknowledgingHosts?: string[];
}

/** Runs a leader every 100 ms and injects scripted faults. */
function runScript(entries: readonly ScriptEntry[], untilMs: number) {
  const table = new ShiftTable();
  let version = 1;
  let leader = new Leader(buildDocument({}), version);
  let failed: readonly string[] = [];
  let unacknowledging: readonly string[] = [];
  const moves: string[] = [];
  for (let nowMs = 0; nowMs <= untilMs; nowMs += 100) {
    for (const entry of entries) {
      if (entry.atMs !== nowMs) continue;
      failed = entry.failed ?? failed;
      unacknowledging = entry.unacknowledgingHosts ?? unacknowledging;
      if (entry.newLeader) leader = new Leader(leader.document, leader.documentVersion);
      if (entry.traffic === undefined) continue;
      version += 1;
      leader.document = buildDocument(entry.traffic);
      leader.documentVersion = version;
    }
    for (const hostId of hostIds) {
      if (!unacknowledging.includes(hostId))
        leader.acknowledgements.recordRevision(hostId, table.revision);
    }
    for (const step of leader.plan(table, failed, nowMs).steps) {
      const committed = table.commit(step, { documentVersion: version, stepPermille });
      if (committed.isOk()) moves.push(`${nowMs} ${step.place} ${step.movedPermille}`);
    }
  }
  return moves;
}

const scripts: { fault: string; entries: ScriptEntry[]; untilMs: number }[] = [
  {
    fault: 'none: a weight is lowered',
    entries: [{ atMs: 0, traffic: { weights: { north: 750 } } }],
    untilMs: 4000,
  },
  {
    fault: 'the leader is lost between two steps',
    entries: [
      { atMs: 0, traffic: { weights: { north: 700 } } },
      { atMs: 500, newLeader: true },
    ],
    untilMs: 4000,
  },
  {
    fault: 'a host stops acknowledging and its region fails later',
    entries: [
      { atMs: 0, traffic: { weights: { north: 700 } }, unacknowledgingHosts: ['host-south'] },
      { atMs: 3000, failed: ['south'] },
    ],
    untilMs: 6000,
  },
  {
    fault: 'two operators change weights in turn',
    entries: [
      { atMs: 0, traffic: { weights: { north: 700 } } },
      { atMs: 300, traffic: { weights: { north: 900 } } },
      { atMs: 600, traffic: { weights: { north: 500 } } },
    ],
    untilMs: 5000,
  },
  {
    fault: 'a region fails and returns with a cold cache',
    entries: [
      { atMs: 0, failed: ['west'] },
      { atMs: 2500, failed: [] },
    ],
    untilMs: 7000,
  },
  {
    fault: 'every zone of a region is drained',
    entries: [{ atMs: 0, traffic: { drainedZones: ['west-a', 'west-b'] } }],
    untilMs: 2000,
  },
  {
    fault: 'one zone of a region is drained',
    entries: [{ atMs: 0, traffic: { drainedZones: ['west-a'] } }],
    untilMs: 2000,
  },
  {
    fault: 'every region is drained, so none is left to take traffic',
    entries: [{ atMs: 0, traffic: { drainedRegions: regionIds } }],
    untilMs: 2000,
  },
];

for (const { fault, entries, untilMs } of scripts) {
  test(`steps keep to the step size and interval; fault: ${fault}`, (t) => {
    t.snapshot(runScript(entries, untilMs));
  });
}

test('a step for another document version, out of order or too large is refused with BL8002', (t) => {
  const table = new ShiftTable();
  const unit = { service, scope: 'region', place: 'north' } as const;
  const plan = { documentVersion: 2, stepPermille };
  const codes = [
    { ...unit, documentVersion: 1, number: 1, movedPermille: 100 },
    { ...unit, documentVersion: 2, number: 2, movedPermille: 100 },
    { ...unit, documentVersion: 2, number: 1, movedPermille: 101 },
    { ...unit, documentVersion: 2, number: 1, movedPermille: 100 },
    { ...unit, documentVersion: 2, number: 1, movedPermille: 100 },
  ].map((step) => {
    const committed = table.commit(step, plan);
    return committed.isOk() ? committed.value.revision : committed.error.code;
  });
  t.deepEqual(codes, ['BL8002', 'BL8002', 'BL8002', 1, 'BL8002']);
});

test('a host never replaces a step with an older one', (t) => {
  const table = new ShiftTable();
  const unit = { service, scope: 'region', place: 'north', documentVersion: 1 } as const;
  const older = { ...unit, number: 1, movedPermille: 100, revision: 1 };
  const newer = { ...unit, number: 2, movedPermille: 200, revision: 2 };
  t.deepEqual(
    [newer, older, newer].map((step) => table.applyCommitted(step)),
    [true, false, false],
  );
  t.is(table.movedPermille(unit), 200);
});

const moveArbitrary = fc.record({
  kind: fc.constantFrom('tick', 'tick', 'tick', 'document', 'fail', 'leader', 'ack', 'stale'),
  pick: fc.nat({ max: 999 }),
});
const seed = 20261204;

/** Runs random faults while a former leader keeps planning; returns steps too large or too soon. */
function runRandom(moves: readonly { kind: string; pick: number }[]): string[] {
  const table = new ShiftTable();
  const violations: string[] = [];
  let version = 1;
  let leader = new Leader(buildDocument({}), version);
  let formerLeader = leader;
  let failed: readonly string[] = [];
  let nowMs = 0;
  const lastAtMs = new Map<string, number>();
  const lastMoved = new Map<string, number>();
  const commit = (planner: Leader) => {
    for (const step of planner.plan(table, failed, nowMs).steps) {
      const committed = table.commit(step, { documentVersion: version, stepPermille });
      if (committed.isErr()) continue;
      const key = `${step.scope}/${step.place}`;
      const sinceMs = nowMs - (lastAtMs.get(key) ?? -stepIntervalMs);
      if (sinceMs < stepIntervalMs) violations.push(`${key} moved after ${sinceMs} ms`);
      const change = Math.abs(step.movedPermille - (lastMoved.get(key) ?? 0));
      if (change > stepPermille) violations.push(`${key} moved by ${change} permille`);
      lastAtMs.set(key, nowMs);
      lastMoved.set(key, step.movedPermille);
    }
  };
  for (const { kind, pick } of moves) {
    nowMs += pick;
    const region = regionIds[pick % regionIds.length] ?? '';
    if (kind === 'document') {
      version += 1;
      leader.document = buildDocument({
        weights: { [region]: pick },
        drainedRegions: pick % 3 === 0 ? [region] : [],
      });
      leader.documentVersion = version;
    }
    if (kind === 'fail') failed = pick % 2 === 0 ? [region] : [];
    if (kind === 'leader') {
      formerLeader = leader;
      leader = new Leader(leader.document, leader.documentVersion);
    }
    if (kind === 'ack') leader.acknowledgements.recordRevision(`host-${region}`, table.revision);
    if (kind === 'tick') {
      for (const hostId of hostIds) leader.acknowledgements.recordRevision(hostId, table.revision);
      commit(leader);
    }
    if (kind === 'stale') commit(formerLeader);
  }
  return violations;
}

test('no sequence of leaders, failures, documents and stale plans moves traffic too far or too soon', (t) => {
  t.notThrows(() =>
    fc.assert(
      fc.property(
        fc.array(moveArbitrary, { minLength: 20, maxLength: 80 }),
        (moves) => runRandom(moves).length === 0,
      ),
      { seed, numRuns: 1000 },
    ),
  );
  t.log({ seed });
});
