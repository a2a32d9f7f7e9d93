import { createLookupAnswers } from '@buckthornlug/host/lookups/lookupAnswers.js';
import type { HostParts } from '@buckthornlug/host/runtime/hostParts.js';
import { ShiftAdmission } from '@buckthornlug/host/shifts/shiftAdmission.js';
import { createPoolOwners } from '@buckthornlug/host/slots/poolOwners.js';
import { UpdateSources } from '@buckthornlug/host/documents/updateSources.js';
import { createMetrics } from '@buckthornlug/host/metrics/metrics.js';
import type {
  DocumentInForce,
  HostContext,
  HostRecord,
} from '@buckthornlug/host/runtime/hostTypes.js';
import { compileTable } from '@buckthornlug/core/table/table.js';
import { checkSettings } from '@buckthornlug/protocol/settings/settings.js';

import { valueOf } from '../../fakes/results.js';
import { virtualIdentity } from '../../membership/virtualMembers.js';
import { atMost, type BenchReport, type Experiment } from '../benchTypes.js';
import { createLargeDocument, zoneName } from './largeDocument.js';
import { median } from './slope.js';

/** What following the membership and the document costs a host at the target size. */

const hostCount = 6600;
const hostsPerZone = 84;
const runs = 21;
const msPerS = 1000;
/** Times at which a host asks for sources and observes its limiters, for each second. */
const pollsPerS = 0.5;
const observationsPerS = 20;
const maxCorePercent = 0.1;

interface World {
  hosts: readonly HostRecord[];
  inForce: DocumentInForce;
  nowMs: number;
}

/** A host in a zone of the large document. */
function identityOf(index: number) {
  const zone = zoneName(Math.floor(index / hostsPerZone));
  const place = { region: 'region-0', availabilityZone: zone };
  return { ...virtualIdentity(index, hostsPerZone), ...place };
}

function createHosts(): HostRecord[] {
  return Array.from({ length: hostCount }, (_, index) => ({
    ...identityOf(index),
    incarnation: 1,
    state: 'alive' as const,
    documentVersion: 1,
  }));
}

/** The whole list, as the membership builds it after each change, with one host in another state. */
function withOneFailed(hosts: readonly HostRecord[], failed: number): HostRecord[] {
  return hosts.map((host, index) =>
    index === failed ? { ...host, state: 'failed' as const } : { ...host },
  );
}

function createHost(world: World) {
  const { hostId, region, availabilityZone, roles, internal } = identityOf(0);
  const key = { id: 'key', secret: '0123456789abcdef' };
  const listen = { callers: internal, internal, admin: internal };
  const place = { hostId, region, availabilityZone, roles };
  const keys = { clusterKeys: [key], announceKeys: [key] };
  const settings = valueOf(checkSettings({ ...place, listen, ...keys }));
  const membership = {
    self: () => world.hosts[0]!,
    hosts: () => world.hosts,
    find: () => undefined,
    onChange: () => () => undefined,
  };
  const owners = createPoolOwners({ settings }, { membership });
  const clock = { nowMs: () => world.nowMs, wallMs: () => world.nowMs };
  const admission = new ShiftAdmission({
    context: { settings, clock, metrics: createMetrics() },
    document: { current: () => world.inForce },
    poolOwner: owners.ownerOf,
    ownersVersion: owners.localVersion,
  });
  const sources = new UpdateSources({
    settings,
    controlMembers: ['h10', 'h94', 'h178', 'h262', 'h346'],
    membership: () => membership,
    zoneRelays: () => ['h1', 'h2', 'h3'],
  });
  const table = compileTable(world.inForce.document);
  const parts = {
    table: { current: () => table },
    document: { current: () => world.inForce },
    membership,
    poolOwner: owners.ownerOf,
    findCallerZone: () => availabilityZone,
  };
  const answers = createLookupAnswers({ settings } as HostContext, parts as unknown as HostParts);
  return { admission, sources, answers };
}

function timeMs(run: () => void): number {
  const startMs = performance.now();
  run();
  return performance.now() - startMs;
}

/** Median time of a run, each after a change that is not counted. */
function medianMs(change: (index: number) => void, run: () => void): number {
  const times = Array.from({ length: runs }, (_, index) => {
    change(index);
    return timeMs(run);
  });
  return median(times);
}

function measure(seed: number): BenchReport {
  const hosts = createHosts();
  const inForce = { version: 1, sectionVersions: {}, document: createLargeDocument() };
  const world: World = { hosts, inForce, nowMs: 0 };
  const { admission, sources, answers } = createHost(world);
  const list = () => {
    sources.list();
  };
  const observe = () => {
    world.nowMs += 50;
    admission.observe();
  };
  /** A look-up of a service that was not asked for since the last change. */
  const lookUp = () => {
    answers.answer('site-9', '10.0.0.1');
  };
  const nothing = () => undefined;
  const invalidating = (change: (index: number) => void) => (index: number) => {
    change(index);
    answers.invalidate();
  };
  const failOutside = (index: number) => {
    world.hosts = withOneFailed(hosts, hostsPerZone + index);
  };
  const failInZone = (index: number) => {
    world.hosts = withOneFailed(hosts, 1 + index);
  };
  const changeDocument = () => {
    world.inForce = { ...inForce };
  };
  const firstSourcesMs = timeMs(list);
  const firstObservationMs = timeMs(observe);
  const firstLookupMs = timeMs(lookUp);
  const sourcesMs = medianMs(nothing, list);
  const observationMs = medianMs(nothing, observe);
  const lookupMs = medianMs(nothing, lookUp);
  const percent = ((sourcesMs * pollsPerS + observationMs * observationsPerS) * 100) / msPerS;
  const changes = [
    { condition: 'a host failed in another zone', change: failOutside },
    { condition: 'a host failed in the own zone', change: failInZone },
    { condition: 'the document changed', change: changeDocument },
  ];
  return {
    experiment: 'following',
    seed,
    rows: [
      {
        condition: 'first time',
        figures: {
          sourcesMs: firstSourcesMs,
          observationMs: firstObservationMs,
          lookupMs: firstLookupMs,
        },
      },
      { condition: 'nothing changed', figures: { sourcesMs, observationMs, lookupMs } },
      ...changes.map(({ condition, change }) => ({
        condition,
        figures: {
          sourcesMs: medianMs(change, list),
          observationMs: medianMs(change, observe),
          lookupMs: medianMs(invalidating(change), lookUp),
        },
      })),
    ],
    bounds: [atMost('percent of a core where nothing changes', percent, maxCorePercent)],
  };
}

/** Sources of updates, limits of shifts and look-ups at 6,600 hosts and 3,700 services. */
export const followingExperiment: Experiment = {
  name: 'following',
  describe: 'cost of sources, limits of shifts and look-ups, with and without changes',
  run: (options) => Promise.resolve(measure(options.seed)),
};
