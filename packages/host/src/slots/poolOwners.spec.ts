import { rankPoolHosts } from '@buckthornlug/core/slots/poolOwner.js';
import test from 'ava';
import fc from 'fast-check';

import type { HostContext, HostRecord, MembershipView } from '../runtime/hostTypes.js';
import { acceptsNewWork } from '../runtime/acceptsNewWork.js';
import { createPoolOwners } from './poolOwners.js';

const endpoint = { address: '127.0.0.1', port: 1 };
const services = ['parts-desk', 'pickups'];
const zones = ['lagos-a', 'lagos-b'];

const hostArbitrary: fc.Arbitrary<HostRecord> = fc.record({
  hostId: fc.constantFrom('self', ...Array.from({ length: 12 }, (_, index) => `h${index}`)),
  region: fc.constant('lagos'),
  availabilityZone: fc.constantFrom('lagos-a', 'lagos-a', ...zones),
  incarnation: fc.constant(1),
  state: fc.constantFrom(
    'alive' as const,
    'alive' as const,
    'suspected' as const,
    'failed' as const,
  ),
  isLeaving: fc.constantFrom(false, false, false, true),
  roles: fc.constantFrom(['entry'], ['entry'], ['entry'], ['control']),
  internal: fc.constant(endpoint),
  callers: fc.constant(endpoint),
  admin: fc.constant(endpoint),
  documentVersion: fc.constant(1),
});

/** Host records, each replacing the record of the same host: a few of them, or most at once. */
const changeArbitrary = fc.oneof(
  fc.array(hostArbitrary, { minLength: 1, maxLength: 2 }),
  fc.array(hostArbitrary, { minLength: 20, maxLength: 30 }),
);

/** Ranks the hosts that may own a pool, the owner first, without any cached state. */
function rankOwnersFromScratch(
  hosts: readonly HostRecord[],
  zone: string,
  service: string,
  isSelfLeaving: boolean,
) {
  const mayOwn = (host: HostRecord) =>
    host.hostId === 'self' ? !isSelfLeaving : acceptsNewWork(host);
  const hostIds = hosts
    .filter((host) => host.availabilityZone === zone && mayOwn(host))
    .map((host) => host.hostId);
  return rankPoolHosts(zone, service, hostIds);
}

function createOwnersWithMembership() {
  const world = { hosts: [] as readonly HostRecord[] };
  const membership = { hosts: () => world.hosts } as unknown as MembershipView;
  const settings = { hostId: 'self', availabilityZone: 'lagos-a' };
  const owners = createPoolOwners({ settings } as unknown as HostContext, { membership });
  return { world, owners };
}

test('cached owners equal those computed from all hosts after each membership change', (t) => {
  const property = fc.property(
    fc.array(hostArbitrary, { minLength: 20, maxLength: 30 }),
    fc.array(changeArbitrary, { minLength: 1, maxLength: 12 }),
    fc.nat({ max: 15 }),
    (first, changes, leavesAt) => {
      const { world, owners } = createOwnersWithMembership();
      const known = new Map<string, string | undefined>();
      const records = new Map(first.map((host) => [host.hostId, host]));
      let version = 0;
      for (const [index, change] of changes.entries()) {
        for (const host of change) records.set(host.hostId, host);
        const hosts = [...records.values()];
        world.hosts = hosts;
        if (index === leavesAt) owners.leave();
        const isChanged = owners.localVersion() !== version;
        version = owners.localVersion();
        for (const zone of zones) {
          for (const service of services) {
            const [expected, second] = rankOwnersFromScratch(
              hosts,
              zone,
              service,
              index >= leavesAt,
            );
            t.is(owners.ownerOf(zone, service), expected);
            if (zone !== 'lagos-a') continue;
            t.is(owners.localOwner(service, []), expected);
            t.is(owners.localOwner(service, [expected ?? '']), second);
            if (!isChanged) t.is(expected, known.get(service));
            known.set(service, expected);
          }
        }
      }
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 7, numRuns: 1000 }));
});

test('changes in other zones or of document versions keep the version of the local owners', (t) => {
  const { world, owners } = createOwnersWithMembership();
  const hostOf = (hostId: string, availabilityZone: string, documentVersion: number) =>
    ({
      hostId,
      availabilityZone,
      documentVersion,
      state: 'alive',
      roles: ['entry'],
    }) as unknown as HostRecord;
  const versionWith = (...hosts: readonly HostRecord[]) => {
    world.hosts = hosts;
    return owners.localVersion();
  };
  const first = versionWith(hostOf('self', 'lagos-a', 1));
  t.is(versionWith(hostOf('self', 'lagos-a', 2)), first);
  t.is(versionWith(hostOf('self', 'lagos-a', 2), hostOf('h1', 'lagos-b', 2)), first);
  t.not(versionWith(hostOf('self', 'lagos-a', 2), hostOf('h1', 'lagos-a', 2)), first);
});
