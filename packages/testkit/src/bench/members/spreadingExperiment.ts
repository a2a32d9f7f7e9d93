import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { setTimeout as delay } from 'node:timers/promises';

import { features as allFeatures } from '@buckthornlug/host/features.js';
import { startHost, type RunningHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import type { ClientBlocks } from '@buckthornlug/protocol/document/documentTypes.js';

import { FakeControlState } from '../../documents/fakeControlState.js';
import { createFleetSettings, type FleetHost } from '../../fakes/hostSettings.js';
import { valueOf } from '../../fakes/results.js';
import { createTestDocument } from '../../fakes/testDocument.js';
import { atMost, type BenchReport, type Experiment, type ReportRow } from '../benchTypes.js';
import { fitLine, median } from './slope.js';

const sizes = [3, 6, 12] as const;
const sectionBlocks = [10, 1000] as const;
const changes = 40;
const idleMs = 8000;
const settleMs = 4000;
const limitMs = 10_000;
const inForceBoundMs = 2000;
const features = allFeatures.filter((feature) =>
  ['membership', 'documents'].includes(feature.name),
);

function cpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1000;
}

function planFleet(count: number): FleetHost[] {
  return Array.from({ length: count }, (_, index) => {
    const zone = Math.floor(index / 2);
    return {
      hostId: `z${zone}-${index % 2}`,
      region: `r${zone >> 1}`,
      availabilityZone: `z${zone}`,
      roles: index % 4 === 0 ? ['entry', 'control'] : ['entry'],
    };
  });
}

function createSection(blocks: number, change: number): ClientBlocks {
  return Array.from({ length: blocks }, (_, index) => ({
    block: `10.${index >> 8}.${index & 255}.0/24`,
    availabilityZone: (index + change) % 2 === 0 ? 'lagos-a' : 'lagos-b',
  }));
}

/** Hosts in this process with a control group that commits at once. */
class SpreadingFleet {
  readonly control = new FakeControlState();

  private hosts: RunningHost[] = [];

  constructor(private readonly dataFolder: string) {}

  async start(count: number): Promise<void> {
    const plan = planFleet(count);
    const members = plan.filter((host) => host.roles?.includes('control'));
    const settings = createFleetSettings(plan, {
      dataFolder: this.dataFolder,
      groups: [{ id: 'control', members: members.map((host) => host.hostId) }],
    });
    for (const one of settings) {
      const own = [this.control.feature(), ...features];
      const started = await startHost(one, { features: own, writeLogLine: () => undefined });
      this.hosts.push(valueOf(started));
    }
    await delay(settleMs);
  }

  /** Waits until a version is in force on all hosts; gives the time. */
  async untilInForce(version: number): Promise<number> {
    const startMs = performance.now();
    const isBehind = (host: RunningHost) => (host.parts.document.current()?.version ?? 0) < version;
    while (this.hosts.some(isBehind)) {
      if (performance.now() - startMs > limitMs) return Infinity;
      await delay(1);
    }
    return performance.now() - startMs;
  }

  async stop(): Promise<void> {
    await Promise.all(this.hosts.map((host) => host.stop()));
    this.hosts = [];
  }
}

interface SpreadingSample {
  readonly hosts: number;
  readonly blocks: number;
  readonly medianMs: number;
  readonly longestMs: number;
  readonly updateBytes: number;
  readonly cpuMsPerHostAndChange: number;
  readonly idleCpuPermillePerHost: number;
}

async function measureFleet(count: number, dataFolder: string): Promise<SpreadingSample[]> {
  const fleet = new SpreadingFleet(dataFolder);
  await fleet.start(count);
  await fleet.untilInForce(fleet.control.commitDocument(createTestDocument()));
  const idleFrom = cpuMs();
  await delay(idleMs);
  const idlePerMs = (cpuMs() - idleFrom) / idleMs;
  const samples: SpreadingSample[] = [];
  for (const blocks of sectionBlocks) {
    const times: number[] = [];
    const fromCpu = cpuMs();
    const fromMs = performance.now();
    let updateBytes = 0;
    for (let change = 0; change < changes; change += 1) {
      const content = createSection(blocks, change);
      const version = fleet.control.commit([{ name: 'clientBlocks/all', content }]);
      times.push(await fleet.untilInForce(version));
      const update = fleet.control.updateSince({ version: version - 1, shiftRevision: 0 });
      updateBytes = JSON.stringify(update).length;
    }
    const idleCpu = idlePerMs * (performance.now() - fromMs);
    samples.push({
      hosts: count,
      blocks,
      medianMs: median(times),
      longestMs: Math.max(...times),
      updateBytes,
      cpuMsPerHostAndChange: (cpuMs() - fromCpu - idleCpu) / (count * changes),
      idleCpuPermillePerHost: (idlePerMs * 1000) / count,
    });
  }
  await fleet.stop();
  return samples;
}

function rowOf(sample: SpreadingSample): ReportRow {
  const { hosts, blocks, ...figures } = sample;
  return { condition: `${hosts} hosts, changed section of ${blocks} blocks`, figures };
}

async function measure(seed: number, progress: (text: string) => void): Promise<BenchReport> {
  const samples: SpreadingSample[] = [];
  for (const count of sizes) {
    progress(`${count} hosts`);
    const dataFolder = await mkdtemp(`${tmpdir()}/bl-spreading-`);
    samples.push(...(await measureFleet(count, dataFolder)));
    await rm(dataFolder, { recursive: true });
  }
  const longestMs = Math.max(...samples.map((sample) => sample.longestMs));
  const cpu = fitLine(samples.map((one) => [one.updateBytes, one.cpuMsPerHostAndChange]));
  return {
    experiment: 'spreading',
    seed,
    rows: [
      ...samples.map(rowOf),
      {
        condition: 'slopes',
        figures: { cpuMsPerChange: cpu.intercept, cpuMsPerKilobyte: cpu.slope * 1000 },
      },
    ],
    bounds: [atMost('longest time to in force in ms', longestMs, inForceBoundMs)],
  };
}

/** Time to in force and cost of a change against hosts and size of the section. */
export const spreadingExperiment: Experiment = {
  name: 'spreading',
  describe: 'time to in force and cost of a change; hosts in one process, commits at once',
  run: (options) => measure(options.seed, options.progress),
};
