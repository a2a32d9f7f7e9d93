import { readFile } from 'node:fs/promises';

import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import { deploymentKeys, deploymentSettings } from '../../deployment/deployment.js';
import { loopbackNetwork } from '../../fakes/loopback.js';
import type { FakeBackendOptions } from '../../fakes/fakeBackendTypes.js';
import { startBenchProcess, type BenchProcess } from './benchProcess.js';
import type { FakeReport, NaivePolicy, RelayLine, SlotTime } from './loadTypes.js';

/** Backend servers of a service in each zone of a region, in the order of zones. */
export interface ServiceSize {
  readonly service: string;
  readonly slots: number;
  readonly backendsPerZone: readonly number[];
}

/** Size of a deployment for a bench. */
export interface FleetPlan {
  /** Example document, such as `trekpole`. */
  readonly example: string;
  /** Regions that take part; all where absent. */
  readonly regions?: number;
  readonly services: readonly ServiceSize[];
  readonly hosts: 'buckthornlug' | NaivePolicy;
  readonly seed: number;
}

/** A deployment that runs in processes of its own. */
export interface LoadFleet {
  readonly document: SteeringDocument;
  readonly zones: readonly string[];
  /** Callers listeners of the hosts of a zone. */
  readonly hostsOf: (availabilityZone: string) => readonly Endpoint[];
  /** Process of the fake backend servers of a zone. */
  readonly fakesOf: (availabilityZone: string) => BenchProcess;
  /** Process of a host. */
  readonly hostProcess: (hostId: string) => BenchProcess | undefined;
  readonly counts: () => Promise<FakeReport[]>;
  /** Slot time of each service over all hosts, since their start. */
  readonly slotTimes: () => Promise<SlotTime[]>;
  /** Slots of a service over all zones. */
  readonly slotsOf: (service: string) => number;
  readonly close: () => Promise<void>;
}

const backendPort = 7100;
const firstBackendNumber = 60;
const relayPort = 7200;
const hostsPerZone = 2;
/** Processes that start at the same time. */
const startsAtOnce = 4;

/** Reads an example document, cut down to its first regions. */
async function readExample(example: string, regions: number | undefined) {
  const path = new URL(`../../../../../examples/${example}.json`, import.meta.url);
  const value = JSON.parse(await readFile(path, 'utf8')) as SteeringDocument;
  const checked = checkDocument(value);
  if (checked.isErr()) throw new Error(JSON.stringify(checked.error));
  const document = checked.value;
  const kept = document.network.regions.slice(0, regions);
  const links = document.network.links.filter(({ from, to }) =>
    [from, to].every((end) => kept.some((region) => region.id === end)),
  );
  return { ...document, network: { ...document.network, regions: kept, links }, clientBlocks: {} };
}

function delayMs(document: SteeringDocument, from: Settings, to: Settings): number {
  const { network } = document;
  if (from.availabilityZone === to.availabilityZone) return 0;
  if (from.region === to.region) return network.zoneDelayMs;
  const ends = new Set([from.region, to.region]);
  const link = network.links.find((entry) => ends.has(entry.from) && ends.has(entry.to));
  return link?.oneWayDelayMs ?? 0;
}

/** Lines between hosts of different zones; each host sees the others through them. */
function planRelay(
  document: SteeringDocument,
  hosts: readonly Settings[],
  address: string,
): { readonly lines: RelayLine[]; readonly settings: Settings[] } {
  const lines: RelayLine[] = [];
  const settings = hosts.map((host) => {
    const peerAddresses: Record<string, Endpoint> = {};
    for (const other of hosts) {
      const oneWayDelayMs = delayMs(document, host, other);
      if (oneWayDelayMs === 0) continue;
      const listen = { address, port: relayPort + lines.length };
      lines.push({ listen, to: other.listen.internal, oneWayDelayMs });
      peerAddresses[other.hostId] = listen;
    }
    return { ...host, peerAddresses };
  });
  return { lines, settings };
}

function planFakes(plan: FleetPlan, zones: readonly string[], hosts: readonly Settings[]) {
  const [first] = hosts;
  const network = first?.listen.callers.address.split('.').slice(0, 3).join('.') ?? '';
  const fakes: (FakeBackendOptions & { availabilityZone: string })[] = [];
  for (const [zoneIndex, availabilityZone] of zones.entries()) {
    const announceTo = hosts
      .filter((host) => host.availabilityZone === availabilityZone)
      .map((host) => host.listen.callers);
    for (const { service, slots, backendsPerZone } of plan.services) {
      for (let number = 0; number < (backendsPerZone[zoneIndex] ?? 0); number += 1) {
        fakes.push({
          backendId: `${service}-${availabilityZone}-${number}`,
          service,
          availabilityZone,
          endpoint: {
            address: `${network}.${firstBackendNumber + fakes.length}`,
            port: backendPort,
          },
          hosts: announceTo,
          announceKey: deploymentKeys.announce,
          slots,
          connectionLimit: 330,
          seed: plan.seed * 1000 + fakes.length,
        });
      }
    }
  }
  return fakes;
}

async function startHosts(
  plan: FleetPlan,
  document: SteeringDocument,
  settings: readonly Settings[],
): Promise<Map<string, BenchProcess>> {
  const processes = new Map<string, BenchProcess>();
  const start = async (host: Settings) => {
    const child = startBenchProcess();
    processes.set(host.hostId, child);
    if (plan.hosts === 'buckthornlug') {
      await child.ask({ message: 'host', settings: host, document });
      return;
    }
    const { hostId, listen } = host;
    const { hosts: policy } = plan;
    await child.ask({ message: 'naiveHost', hostId, callers: listen.callers, policy, document });
  };
  for (let next = 0; next < settings.length; next += startsAtOnce) {
    await Promise.all(settings.slice(next, next + startsAtOnce).map(start));
  }
  return processes;
}

/** A naive host hears only of the backend servers that announce themselves to it: it is alone. */
function hostsFor(plan: FleetPlan): number {
  return plan.hosts === 'buckthornlug' ? hostsPerZone : 1;
}

/**
 * Starts a deployment: hosts, fake backend servers and the delays between zones.
 *
 * @param plan - its size
 */
export async function startLoadFleet(plan: FleetPlan): Promise<LoadFleet> {
  const document = await readExample(plan.example, plan.regions);
  const network = loopbackNetwork(process.pid);
  const planned = deploymentSettings({
    regions: Object.fromEntries(
      document.network.regions.map((region) => [region.id, region.availabilityZones]),
    ),
    hostsPerZone: hostsFor(plan),
    groups: {},
    dataRoot: '/nonexistent',
    network,
    logLevel: 'error',
  });
  const { lines, settings } = planRelay(document, planned, `${network}.250`);
  const zones = document.network.regions.flatMap((region) => region.availabilityZones);
  const relay = startBenchProcess();
  await relay.ask({ message: 'relay', lines });
  const hosts = await startHosts(plan, document, settings);
  const fakeProcesses = new Map<string, BenchProcess>();
  const fakes = planFakes(plan, zones, settings);
  for (const zone of zones) {
    const child = startBenchProcess();
    fakeProcesses.set(zone, child);
    const ofZone = fakes.filter((fake) => fake.availabilityZone === zone);
    await child.ask({ message: 'fakes', fakes: ofZone });
  }
  const fakesOf = (zone: string): BenchProcess => {
    const child = fakeProcesses.get(zone);
    if (child === undefined) throw new Error(`no zone ${zone}`);
    return child;
  };
  return {
    document,
    zones,
    hostsOf: (zone) =>
      settings.filter((host) => host.availabilityZone === zone).map((host) => host.listen.callers),
    fakesOf,
    hostProcess: (hostId) => hosts.get(hostId),
    counts: async () => {
      const reports: FakeReport[] = [];
      for (const zone of zones) {
        const reply = await fakesOf(zone).ask({ message: 'counts' });
        if (reply.message === 'counts') reports.push(...reply.fakes);
      }
      return reports;
    },
    slotTimes: async () => {
      const times: SlotTime[] = [];
      for (const child of hosts.values()) {
        const reply = await child.ask({ message: 'slotTimes' });
        if (reply.message === 'slotTimes') times.push(...reply.times);
      }
      return times;
    },
    slotsOf: (service) => {
      let slots = 0;
      for (const fake of fakes) if (fake.service === service) slots += fake.slots ?? 0;
      return slots;
    },
    close: async () => {
      const all = [relay, ...hosts.values(), ...fakeProcesses.values()];
      await Promise.all(all.map((child) => child.kill()));
    },
  };
}
