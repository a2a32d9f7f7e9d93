import test from 'ava';
import fc from 'fast-check';

import { hashText } from '../hash/textHash.js';
import { SourceOrder, type SourceCandidate, type SourceInputs } from './sourceOrder.js';

/** Sorts hosts by their hash with the polling host. */
function sortByHash(hostIds: readonly string[], pollingHostId: string): string[] {
  const weighted = hostIds.map((hostId) => ({
    hostId,
    weight: hashText(`${pollingHostId} ${hostId}`),
  }));
  weighted.sort((left, right) => left.weight - right.weight);
  return weighted.map(({ hostId }) => hostId);
}

/** Reference implementation that computes the order without cached state. */
function computeOrder(self: SourceCandidate, inputs: SourceInputs): string[] {
  const { candidates, controlMembers, zoneRelays } = inputs;
  const present = new Set(candidates.map((host) => host.hostId));
  const isPresent = (hostId: string) => present.has(hostId);
  const hostIdsWhere = (isWanted: (host: SourceCandidate) => boolean) =>
    sortByHash(
      candidates.filter(isWanted).map((host) => host.hostId),
      self.hostId,
    );
  const controlHosts = hostIdsWhere((host) => host.roles.includes('control'));
  let firstTier = sortByHash(zoneRelays.filter(isPresent), self.hostId);
  if (zoneRelays.includes(self.hostId)) firstTier = controlHosts;
  if (self.roles.includes('control')) {
    firstTier = sortByHash(controlMembers.filter(isPresent), self.hostId);
  }
  const zonePeers = hostIdsWhere((host) => host.availabilityZone === self.availabilityZone);
  return [...new Set([...firstTier, ...controlHosts, ...zonePeers, ...hostIdsWhere(() => true)])];
}

const hostIds = Array.from({ length: 12 }, (_, index) => `h${index}`);
const someHostIds = fc.subarray(hostIds);

const hostArbitrary = fc.record({
  availabilityZone: fc.constantFrom('a', 'b'),
  roles: fc.constantFrom(['entry'], ['entry', 'control'], ['control']),
});

/** In each step some hosts change, are removed or return, and their order may be reversed. */
const stepArbitrary = fc.record({
  changed: fc.dictionary(fc.constantFrom(...hostIds), hostArbitrary, { maxKeys: 3 }),
  absent: fc.oneof(fc.constant<string[]>([]), fc.subarray(hostIds, { maxLength: 3 }), someHostIds),
  isReversed: fc.boolean(),
  controlMembers: fc.constantFrom(['h1', 'h2', 'h3'], ['h1']),
  zoneRelays: fc.oneof(fc.constant(['h1', 'h4']), fc.subarray(hostIds, { maxLength: 3 })),
});

test('the cached order equals one computed from scratch after each membership change', (t) => {
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
      for (const { changed, absent, isReversed, ...tiers } of steps) {
        for (const [hostId, host] of Object.entries(changed)) {
          if (hostId !== self.hostId) hosts.set(hostId, { hostId, ...host });
        }
        const candidates = [...hosts.values()].filter(({ hostId }) => !absent.includes(hostId));
        if (isReversed) candidates.reverse();
        const inputs = { candidates, ...tiers };
        t.deepEqual(order.order(inputs), computeOrder(self, inputs));
        t.deepEqual(order.order(inputs), computeOrder(self, inputs));
      }
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 7, numRuns: 1000 }));
});

test('a change of the zone relays alone changes the order', (t) => {
  const self = { hostId: 'h0', availabilityZone: 'a', roles: ['entry'] };
  const candidates = hostIds
    .slice(1)
    .map((hostId) => ({ hostId, availabilityZone: 'a', roles: ['entry'] }));
  const order = new SourceOrder(self);
  for (const relay of hostIds.slice(1)) {
    t.is(order.order({ candidates, controlMembers: [], zoneRelays: [relay] })[0], relay);
  }
});
