import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { MembershipMachine } from '@buckthornlug/core/membership/membership.js';

import { createSeededRandom } from '../../fakes/seededRandom.js';
import { virtualIdentity, VirtualMembers } from '../../membership/virtualMembers.js';
import { atMost, type BenchReport, type Experiment, type ReportRow } from '../benchTypes.js';
import { fitLine, median } from './slope.js';

/** Bytes of a datagram beside its content: signature, UDP and IP. */
const datagramOverheadBytes = 90;
const settleMs = 10_000;
const measuredS = 20;
const tickMs = 100;
/** Ticks of the large machine: too few for a suspicion, since its probes are not answered. */
const ticksMeasured = 9;
const knownHosts = 6600;
const hostsPerZone = 84;
const maxBytesPerS = 26_000;

const layouts = [
  { hosts: 2, perZone: 2 },
  { hosts: 10, perZone: 10 },
  { hosts: 21, perZone: 21 },
  { hosts: 42, perZone: 42 },
  { hosts: 84, perZone: 84 },
  { hosts: 168, perZone: 84 },
  { hosts: 12, perZone: 2 },
  { hosts: 40, perZone: 10 },
  { hosts: 80, perZone: 10 },
] as const;

interface Sample {
  readonly hosts: number;
  readonly zones: number;
  readonly messagesPerS: number;
  readonly bytesPerS: number;
  readonly machineCpuPermille: number;
}

function cpuMs(): number {
  const { user, system } = process.cpuUsage();
  return (user + system) / 1000;
}

/** What one host sends in steady state; the processor time is that of the machine and its links. */
function measureLayout(hosts: number, perZone: number, seed: number): Sample {
  const members = new VirtualMembers(hosts, perZone, createSeededRandom(seed), true);
  members.run(settleMs);
  const before = { ...members.traffic, cpu: cpuMs() };
  members.run(measuredS * 1000);
  const hostSeconds = hosts * measuredS;
  const messages = members.traffic.messages - before.messages;
  const bytes = members.traffic.bytes - before.bytes + messages * datagramOverheadBytes;
  return {
    hosts,
    zones: hosts / perZone,
    messagesPerS: messages / hostSeconds,
    bytesPerS: bytes / hostSeconds,
    machineCpuPermille: (cpuMs() - before.cpu) / hostSeconds,
  };
}

function usedHeap(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}

/** Median time of a tick of a machine without links, in microseconds. */
function measureTick(machine: MembershipMachine): number {
  const times = Array.from({ length: ticksMeasured }, (_, index) => {
    const startMs = performance.now();
    machine.tick((index + 1) * tickMs);
    return (performance.now() - startMs) * 1000;
  });
  return median(times);
}

/** Memory for each known host and time of a tick of a machine that knows the target size. */
function measureLargeMachine() {
  const config = {
    tickMs,
    probeIntervalMs: 500,
    directTimeoutMs: 200,
    suspicionMs: 1200,
    seeds: [],
  };
  const self = virtualIdentity(0, hostsPerZone);
  const before = usedHeap();
  const machine = new MembershipMachine(self, 1, config, () => 0.5, 0);
  for (let index = 1; index < knownHosts; index += 1) {
    const identity = virtualIdentity(index, hostsPerZone);
    const { hostId } = identity;
    const stamp = {
      hostId,
      incarnation: 1,
      refutation: 0,
      state: 'alive' as const,
      documentVersion: 1,
      shiftRevision: 0,
    };
    const message = { kind: 'sync' as const, from: stamp, to: 'h0', records: [], identity };
    machine.receive({ ...message, after: 'z' }, 0);
  }
  const memoryBytesPerKnownHost = (usedHeap() - before) / machine.members().length;
  return { memoryBytesPerKnownHost, tickUs: measureTick(machine) };
}

function rowOf(sample: Sample): ReportRow {
  const { hosts, zones, ...figures } = sample;
  return { condition: `${hosts} hosts in ${zones} zones`, figures };
}

function measure(seed: number, progress: (text: string) => void): BenchReport {
  const samples: Sample[] = [];
  for (const { hosts, perZone } of layouts) {
    progress(`${hosts} hosts, ${perZone} a zone`);
    samples.push(measureLayout(hosts, perZone, seed));
  }
  const inOneZone = samples.filter((sample) => sample.zones === 1 && sample.hosts >= 10);
  const byZones = samples.filter((sample) => sample.zones > 1);
  const perHost = fitLine(inOneZone.map((sample) => [sample.hosts, sample.bytesPerS]));
  const perZone = fitLine(byZones.map((sample) => [sample.zones, sample.bytesPerS]));
  const largest = Math.max(...samples.map((sample) => sample.bytesPerS));
  const largeMachine = measureLargeMachine();
  return {
    experiment: 'members',
    seed,
    rows: [
      ...samples.map(rowOf),
      {
        condition: 'slopes',
        figures: {
          bytesPerSPerHostOfZone: perHost.slope,
          bytesPerSPerZone: perZone.slope,
          ...largeMachine,
        },
      },
    ],
    bounds: [atMost('bytesPerS of a host, largest layout', largest, maxBytesPerS)],
  };
}

/** Messages, bytes, processor time and memory of the membership against its size. */
export const membersExperiment: Experiment = {
  name: 'members',
  describe: 'cost of the membership against hosts of a zone and number of zones',
  run: (options) => Promise.resolve(measure(options.seed, options.progress)),
};
