import test from 'ava';
import fc from 'fast-check';

import { hashText } from '../hash/textHash.js';
import { SourceOrder, type SourceCandidate, type SourceInputs } from './sourceOrder.js';

/** The order by hash with the asking host, computed from all hosts. */
function spread(hostIds: readonly string[], asker: string): string[] {
  const weighed = hostIds.map((hostId) => ({ hostId, weight: hashText(`${asker} ${hostId}`) }));
  weighed.sort((left, right) => left.weight - right.weight);
  return weighed.map(({ hostId }) => hostId);
}

/** The order of all sources, computed from nothing kept. */
function orderAll(self: SourceCandidate, inputs: SourceInputs): string[] {
  const { candidates, controlMembers, zoneRelays } = inputs;
  const present = new Set(candidates.map((host) => host.hostId));
  const isPresent = (hostId: string) => present.has(hostId);
  const namesOf = (wanted: (host: SourceCandidate) => boolean) =>
    spread(
      candidates.filter(wanted).map((host) => host.hostId),
      self.hostId,
    );
  const controlHosts = namesOf((host) => host.roles.includes('control'));
  let upper = spread(zoneRelays.filter(isPresent), self.hostId);
  if (zoneRelays.includes(self.hostId)) upper = controlHosts;
  if (self.roles.includes('control')) {
    upper = spread(controlMembers.filter(isPresent), self.hostId);
  }
  const zonePeers = namesOf((host) => host.availabilityZone === self.availabilityZone);
  return [...new Set([...upper, ...controlHosts, ...zonePeers, ...namesOf(() => true)])];
}

const hostIds = Array.from({ length: 12 }, (_, index) => `h${index}`);
const someHostIds = fc.subarray(hostIds);

const hostArbitrary = fc.record({
  availabilityZone: fc.constantFrom('a', 'b'),
  roles: fc.constantFrom(['entry'], ['entry', 'control'], ['control']),
});

/** Hosts in any order, of which some are replaced, gone or back in each step. */
const stepArbitrary = fc.record({
  changed: fc.dictionary(fc.constantFrom(...hostIds), hostArbitrary, { maxKeys: 3 }),
  absent: fc.oneof(fc.constant<string[]>([]), fc.subarray(hostIds, { maxLength: 3 }), someHostIds),
  isReversed: fc.boolean(),
  controlMembers: fc.constantFrom(['h1', 'h2', 'h3'], ['h1']),
  zoneRelays: fc.oneof(fc.constant(['h1', 'h4']), fc.subarray(hostIds, { maxLength: 3 })),
});

test('the order kept over changes of membership equals the one computed from all hosts', (t) => {
  const property = fc.property(
    hostArbitrary,
    fc.array(stepArbitrary, { minLength: 1, maxLength: 12 }),
    (own, steps) => {
      const self = { hostId: 'h0', ...own };
      const order = new SourceOrder(self);
      const hosts = new Map<string, SourceCandidate>();
      for (const hostId of hostIds) {
        if (hostId !== self.hostId) {
          hosts.set(hostId, { hostId, availabilityZone: 'a', roles: ['entry'] });
        }
      }
      for (const { changed, absent, isReversed, ...tree } of steps) {
        for (const [hostId, host] of Object.entries(changed)) {
          if (hostId !== self.hostId) hosts.set(hostId, { hostId, ...host });
        }
        const candidates = [...hosts.values()].filter(({ hostId }) => !absent.includes(hostId));
        if (isReversed) candidates.reverse();
        const inputs = { candidates, ...tree };
        t.deepEqual(order.order(inputs), orderAll(self, inputs));
        t.deepEqual(order.order(inputs), orderAll(self, inputs));
      }
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 7, numRuns: 1000 }));
});

test('relays and members that change alone change the order', (t) => {
  const self = { hostId: 'h0', availabilityZone: 'a', roles: ['entry'] };
  const candidates = hostIds
    .slice(1)
    .map((hostId) => ({ hostId, availabilityZone: 'a', roles: ['entry'] }));
  const order = new SourceOrder(self);
  for (const relay of hostIds.slice(1)) {
    t.is(order.order({ candidates, controlMembers: [], zoneRelays: [relay] })[0], relay);
  }
});
