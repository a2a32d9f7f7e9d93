import type { VersionedSection } from '@buckthornlug/protocol/document/documentTypes.js';
import test from 'ava';
import fc from 'fast-check';

import { ControlCopy } from './controlCopy.js';
import { SourceOrder, type SourceCandidate } from './sourceOrder.js';
import type { ControlUpdate } from './spreadingTypes.js';

/** Commits changes to a copy, as the control group does. */
function commit(copy: ControlCopy, changes: readonly Omit<VersionedSection, 'version'>[]): void {
  const version = copy.versions().version + 1;
  const sections = changes.map((change) => ({ ...change, version }));
  copy.apply({
    version,
    sinceVersion: version - 1,
    sections,
    shiftRevision: 0,
    shiftSteps: [],
  });
}

const step = {
  service: 'parts-desk',
  scope: 'region',
  place: 'lagos',
  documentVersion: 1,
  number: 1,
  movedPermille: 50,
  revision: 1,
} as const;

test('an update holds only changed sections, and unchanged ones stay the same objects', (t) => {
  const source = new ControlCopy();
  commit(source, [
    { name: 'ranks', content: [] },
    { name: 'services/desk', content: { a: 1 } },
    { name: 'services/old', content: { a: 2 } },
  ]);
  const copy = new ControlCopy();
  copy.apply(source.updateSince(copy.versions()));
  const before = copy.document();
  commit(source, [
    { name: 'services/desk', content: { a: 3 } },
    { name: 'services/old', content: null },
  ]);
  const update = source.updateSince(copy.versions());
  t.deepEqual(
    update.sections.map((section) => section.name),
    ['services/desk', 'services/old'],
  );
  const outcome = copy.apply(update);
  t.true(outcome.isDocumentChanged);
  const after = copy.document();
  t.is(after.ranks, before.ranks);
  t.deepEqual(Object.keys(after.services), ['desk']);
  t.deepEqual(copy.sectionVersions(), { ranks: 1, 'services/desk': 2 });
});

const ignoredUpdates: { fault: string; update: ControlUpdate; needsFullUpdate: boolean }[] = [
  {
    fault: 'an older version',
    update: { version: 1, sinceVersion: 0, sections: [], shiftRevision: 0, shiftSteps: [] },
    needsFullUpdate: false,
  },
  {
    fault: 'the same version again',
    update: { version: 3, sinceVersion: 2, sections: [], shiftRevision: 0, shiftSteps: [] },
    needsFullUpdate: false,
  },
  {
    fault: 'a version whose predecessor is missing',
    update: { version: 9, sinceVersion: 8, sections: [], shiftRevision: 0, shiftSteps: [] },
    needsFullUpdate: true,
  },
];

for (const { fault, update, needsFullUpdate } of ignoredUpdates) {
  test(`an update does not change the document: ${fault}`, (t) => {
    const copy = new ControlCopy();
    for (const content of [1, 2, 3]) commit(copy, [{ name: 'ranks', content }]);
    const outcome = copy.apply(update);
    t.false(outcome.isDocumentChanged);
    t.is(outcome.needsFullUpdate, needsFullUpdate);
    t.is(copy.versions().version, 3);
    t.is<unknown, unknown>(copy.document().ranks, 3);
  });
}

test('a shift step is applied without a new document, and an older step is ignored', (t) => {
  const copy = new ControlCopy();
  commit(copy, [{ name: 'ranks', content: 1 }]);
  const empty = { ...copy.updateSince(copy.versions()) };
  const newer = { ...step, revision: 2, number: 2, movedPermille: 100 };
  const outcome = copy.apply({ ...empty, shiftRevision: 2, shiftSteps: [newer] });
  t.deepEqual(outcome.newSteps, [newer]);
  t.false(outcome.isDocumentChanged);
  t.deepEqual(copy.apply({ ...empty, shiftRevision: 1, shiftSteps: [step] }).newSteps, []);
  t.is(copy.shifts.movedPermille(step), 100);
  t.is(copy.versions().shiftRevision, 2);
});

test('updates in any order and number never lower the version and yield its document', (t) => {
  const property = fc.property(
    fc.array(
      fc.record({ name: fc.constantFrom('a', 'b', 'c', 'd'), content: fc.option(fc.nat()) }),
      {
        minLength: 1,
        maxLength: 12,
      },
    ),
    fc.array(fc.tuple(fc.nat(12), fc.nat(12)), { maxLength: 30 }),
    (changes, deliveries) => {
      const states = [new ControlCopy()];
      for (const change of changes) {
        const next = new ControlCopy();
        next.apply(states.at(-1)!.updateSince({ version: 0, shiftRevision: 0 }));
        commit(next, [{ name: `services/${change.name}`, content: change.content }]);
        states.push(next);
      }
      const copy = new ControlCopy();
      let highest = 0;
      for (const [at, since] of deliveries) {
        const source = states[at % states.length]!;
        copy.apply(source.updateSince({ version: since, shiftRevision: 0 }));
        t.true(copy.versions().version >= highest);
        highest = copy.versions().version;
        t.deepEqual(copy.document(), states[highest]!.document());
      }
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 7, numRuns: 200 }));
});

const zones = ['a', 'b', 'c'];
const allHosts: SourceCandidate[] = zones.flatMap((zone) =>
  [1, 2, 3, 4, 5].map((number) => ({
    hostId: `${zone}${number}`,
    availabilityZone: zone,
    roles: number === 1 ? ['entry', 'control'] : ['entry'],
  })),
);

const firstSources = [
  { title: 'a control host polls members of the control group first', hostId: 'b1', first: ['a1'] },
  { title: 'a relay polls control hosts first', hostId: 'a2', first: ['a1', 'b1', 'c1'] },
  { title: 'another host polls the relays of its zone first', hostId: 'a5', first: ['a2', 'a3'] },
];

for (const { title, hostId, first } of firstSources) {
  test(title, (t) => {
    const self = allHosts.find((host) => host.hostId === hostId)!;
    const ordered = new SourceOrder(self).order({
      candidates: allHosts.filter((host) => host !== self),
      controlMembers: ['a1'],
      zoneRelays: ['a2', 'a3'],
    });
    t.deepEqual(ordered.slice(0, first.length).sort(), first);
    t.is(ordered.length, allHosts.length - 1);
  });
}

test('with 6,600 hosts no source is the first choice of more than 200 hosts', (t) => {
  const zoneCount = 79;
  const perZone = 84;
  const hosts: SourceCandidate[] = [];
  for (let index = 0; index < zoneCount * perZone; index += 1) {
    const number = index % perZone;
    const isControl = number === 10 && index / perZone < 39;
    hosts.push({
      hostId: `h${index}`,
      availabilityZone: `z${Math.floor(index / perZone)}`,
      roles: isControl ? ['control'] : ['entry'],
    });
  }
  const controlHosts = hosts.filter((host) => host.roles[0] === 'control');
  const controlMembers = controlHosts.slice(0, 5).map((host) => host.hostId);
  const served = new Map<string, number>();
  for (let zone = 0; zone < zoneCount; zone += 1) {
    const inZone = hosts.slice(zone * perZone, (zone + 1) * perZone);
    const zoneRelays = inZone.slice(0, 3).map((host) => host.hostId);
    const candidates = [...inZone, ...controlHosts];
    for (const self of inZone) {
      const [source = ''] = new SourceOrder(self).order({
        candidates,
        controlMembers,
        zoneRelays,
      });
      served.set(source, (served.get(source) ?? 0) + 1);
    }
  }
  t.true(Math.max(...served.values()) <= 200, `${Math.max(...served.values())}`);
});
