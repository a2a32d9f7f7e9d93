import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import type { DocumentInForce, HostRecord } from '@buckthornlug/host/runtime/hostTypes.js';

import { createDraws, type Draws } from '../random/draws.js';
import type { ProcessTime } from '../time/processTime.js';
import { VirtualTime } from '../time/virtualTime.js';
import { FakeShiftControl } from './fakeShiftControl.js';
import { FakeStepSpreading } from './fakeStepSpreading.js';
import { ShiftHost, type ShiftHostPlace } from './shiftHost.js';

/** What one seeded round of faults showed. */
export interface ShiftRoundResult {
  readonly seed: number;
  /** Cap of each region in shifted calls per second. */
  readonly cap: number;
  /** Most shifted calls that a region admitted in any one-second window. */
  readonly largestWindow: number;
  /** By how much that exceeds the cap. */
  readonly overshoot: number;
  readonly admitted: number;
  readonly refused: number;
  readonly committedSteps: number;
  readonly refusedSteps: number;
  /** Steps that were too large or too soon. */
  readonly stepFaults: number;
  readonly pauses: number;
  readonly restarts: number;
  readonly leaderChanges: number;
}

const regions = ['north', 'south', 'west'];
const zonesPerRegion = 2;
const hostsPerZone = 2;
const service = 'shop';
const cap = 30;
const stepPermille = 200;
const stepIntervalMs = 1000;
const roundMs = 45_000;
const callsPerS = 120;
const detectionMs = 2000;
const spreadMs = 2000;
/** Time for which a host that woke up goes by its view from before. */
const staleViewMs = 1500;

/** What an operator changes. */
interface Change {
  readonly weights?: Record<string, number>;
  readonly drainedRegions?: readonly string[];
}

function zonesOf(region: string): string[] {
  return Array.from({ length: zonesPerRegion }, (_each, index) => `${region}-${index}`);
}

function buildDocument(version: number, change: Change): DocumentInForce {
  const kind = { id: 'all', match: {}, rank: 'only', execution: 'idempotent', timeLimitMs: 1000 };
  const shiftCap = { stepPermille, stepIntervalMs, maxShiftedCallsPerS: cap };
  const checked = checkDocument({
    format: 1,
    teams: [{ id: 'team', sections: ['*'], keys: [{ id: 'k', secret: '0123456789abcdef' }] }],
    network: {
      regions: regions.map((id) => ({ id, availabilityZones: zonesOf(id) })),
      zoneDelayMs: 1,
      callerDelayMs: 1,
    },
    ranks: [{ id: 'only', targetMs: 100, floorPermille: 0 }],
    services: { [service]: { hostNames: ['shop.test'], kinds: [kind] } },
    traffic: { [service]: { ...change, shiftCap } },
  });
  if (checked.isErr()) throw new Error(checked.error.detail);
  return { version, sectionVersions: {}, document: checked.value };
}

function places(): ShiftHostPlace[] {
  return regions.flatMap((region) =>
    zonesOf(region).flatMap((availabilityZone) =>
      Array.from({ length: hostsPerZone }, (_each, index) => ({
        hostId: `${availabilityZone}-${index}`,
        region,
        availabilityZone,
      })),
    ),
  );
}

/** Largest number of times that lie in any one-second window. */
function largestWindow(times: readonly number[]): number {
  let largest = 0;
  let first = 0;
  for (const [index, atMs] of times.entries()) {
    while ((times[first] ?? atMs) <= atMs - 1000) first += 1;
    largest = Math.max(largest, index - first + 1);
  }
  return largest;
}

/** One round: hosts, a control group, callers and seeded faults. */
class ShiftRound {
  private readonly time = new VirtualTime();

  private readonly random: Draws;

  private readonly control: FakeShiftControl;

  private readonly spreading: FakeStepSpreading;

  private readonly hosts = new Map<string, ShiftHost>();

  private readonly documents = new Map<string, DocumentInForce>();

  private readonly silentSinceMs = new Map<string, number>();

  private readonly wokeAtMs = new Map<string, number>();

  private readonly admitted = new Map<string, number[]>(regions.map((region) => [region, []]));

  private accepted = buildDocument(1, {});

  private refused = 0;

  private pauses = 0;

  private restarts = 0;

  private leaderChanges = 0;

  private readonly controlHosts = regions.map((region) => `${region}-0-0`);

  constructor(private readonly seed: number) {
    this.random = createDraws(seed);
    this.control = new FakeShiftControl(this.time, this.random, () => this.accepted);
    const { time, random, control, controlHosts, hosts } = this;
    this.spreading = new FakeStepSpreading({ time, random, control, controlHosts, hosts });
    [this.control.leaderId] = this.controlHosts;
    for (const place of places()) this.start(place);
  }

  async run(): Promise<ShiftRoundResult> {
    for (const region of regions) this.scheduleCall(region);
    this.change({ weights: { north: 300 } });
    for (let atMs = 3000; atMs < roundMs; atMs += this.random.between(300, 2500)) {
      this.time.schedule(atMs, () => this.bringAbout(this.random.below(7)));
    }
    await this.time.runUntil(roundMs);
    const windows = [...this.admitted.values()].map(largestWindow);
    const largest = Math.max(...windows);
    return {
      seed: this.seed,
      cap,
      largestWindow: largest,
      overshoot: Math.max(0, largest - cap),
      admitted: [...this.admitted.values()].reduce((sum, times) => sum + times.length, 0),
      refused: this.refused,
      committedSteps: this.control.committed,
      refusedSteps: this.control.refused,
      stepFaults: this.control.stepFaults.length,
      pauses: this.pauses,
      restarts: this.restarts,
      leaderChanges: this.leaderChanges,
    };
  }

  private start(place: ShiftHostPlace): void {
    const { hostId } = place;
    const isMember = this.controlHosts.includes(hostId);
    const member = { memberFor: (each: ProcessTime) => this.control.memberFor(hostId, each) };
    if (!this.documents.has(hostId)) this.documents.set(hostId, this.accepted);
    const host = new ShiftHost({
      place,
      time: this.time,
      document: () => this.documents.get(hostId) ?? this.accepted,
      hosts: () => this.records(),
      poolOwner: (zone) => this.poolOwner(hostId, zone),
      poll: (asking) => this.spreading.poll(asking),
      record: () => undefined,
      ...(isMember ? member : {}),
    });
    this.hosts.set(hostId, host);
    this.spreading.report(host);
  }

  private records(): HostRecord[] {
    return [...this.hosts.values()].map(({ place }) => {
      const state = this.isDetected(place.hostId) ? 'failed' : 'alive';
      const shiftRevision = this.spreading.recordedRevision(place.hostId);
      return { ...place, state, shiftRevision } as HostRecord;
    });
  }

  private isDetected(hostId: string): boolean {
    const sinceMs = this.silentSinceMs.get(hostId);
    return sinceMs !== undefined && this.time.nowMs - sinceMs > detectionMs;
  }

  /** Pool owner as a host sees it; a host that woke up takes itself for the owner for a while. */
  private poolOwner(asking: string, zone: string): string | undefined {
    const wokeAtMs = this.wokeAtMs.get(asking);
    if (wokeAtMs !== undefined && this.time.nowMs - wokeAtMs < staleViewMs) return asking;
    const own = places().filter((place) => place.availabilityZone === zone);
    return own.find((place) => !this.isDetected(place.hostId))?.hostId;
  }

  /** Brings a new version in force on each host within the time in which documents spread. */
  private change(change: Change): void {
    this.accepted = buildDocument(this.accepted.version + 1, change);
    const next = this.accepted;
    for (const host of this.hosts.values()) {
      const { hostId } = host.place;
      this.time.schedule(this.random.between(1, spreadMs), () => {
        const known = this.documents.get(hostId);
        if (known === undefined || known.version < next.version) this.documents.set(hostId, next);
      });
    }
  }

  private bringAbout(fault: number): void {
    const all = [...this.hosts.keys()];
    const hostId = all[this.random.below(all.length)] ?? '';
    const region = regions[this.random.below(regions.length)] ?? '';
    if (fault === 0) this.pause(hostId, this.random.between(200, 60_000));
    if (fault === 1) this.restart(hostId);
    if (fault === 2) this.changeLeader();
    if (fault === 3) this.change({ weights: { [region]: this.random.below(1001) } });
    if (fault === 4) this.change({ drainedRegions: [region] });
    if (fault === 5) this.failRegion(region);
    if (fault === 6) {
      this.change({ weights: { [region]: 500 } });
      this.change({ weights: { [region]: 900 } });
    }
  }

  private pause(hostId: string, durationMs: number): void {
    const { processTime } = this.hosts.get(hostId) ?? {};
    if (processTime === undefined || !processTime.isRunning) return;
    this.pauses += 1;
    processTime.pause();
    this.silentSinceMs.set(hostId, this.time.nowMs);
    this.time.schedule(durationMs, () => {
      processTime.resume();
      if (!processTime.isRunning) return;
      this.silentSinceMs.delete(hostId);
      this.wokeAtMs.set(hostId, this.time.nowMs);
    });
  }

  private restart(hostId: string): void {
    const host = this.hosts.get(hostId);
    if (host === undefined) return;
    this.restarts += 1;
    host.processTime.kill();
    this.silentSinceMs.set(hostId, this.time.nowMs);
    this.time.schedule(this.random.between(100, 5000), () => {
      this.silentSinceMs.delete(hostId);
      this.start(host.place);
    });
  }

  private changeLeader(): void {
    this.leaderChanges += 1;
    this.control.leaderId = undefined;
    this.time.schedule(this.random.between(100, 2000), () => {
      this.control.leaderId = this.controlHosts[this.random.below(this.controlHosts.length)];
    });
  }

  private failRegion(region: string): void {
    const own = places().filter((place) => place.region === region);
    for (const { hostId } of own) this.pause(hostId, this.random.between(3000, 10_000));
  }

  private scheduleCall(region: string): void {
    const gapMs = (-Math.log(1 - this.random.next()) * 1000) / callsPerS;
    this.time.schedule(gapMs, () => {
      this.call(region);
      this.scheduleCall(region);
    });
  }

  /** A call of a region: at home, or shifted by the share that its host knows. */
  private call(region: string): void {
    const own = [...this.hosts.values()].filter((host) => host.place.region === region);
    const living = own.filter((host) => host.processTime.isRunning);
    const host = living[this.random.below(Math.max(1, living.length))];
    const share = host?.table.movedPermille({ service, scope: 'region', place: region });
    const isShifted = host === undefined || this.random.chance((share ?? 0) / 1000);
    if (!isShifted) return;
    const others = regions.filter((each) => each !== region);
    const target = others[this.random.below(others.length)] ?? '';
    const zones = zonesOf(target);
    const zone = zones[this.random.below(zones.length)] ?? '';
    const inZone = [...this.hosts.values()].filter((each) => each.place.availabilityZone === zone);
    const receiver = inZone[this.random.below(inZone.length)];
    if (receiver === undefined || !receiver.processTime.isRunning) return;
    if (receiver.admission.admitShifted(service, region) === undefined) {
      this.admitted.get(target)?.push(this.time.nowMs);
    } else {
      this.refused += 1;
    }
  }
}

/**
 * Runs one round in virtual time with the real shift tasks of the hosts.
 *
 * @param seed - fixes every choice of the round
 */
export function runShiftRound(seed: number): Promise<ShiftRoundResult> {
  return new ShiftRound(seed).run();
}
