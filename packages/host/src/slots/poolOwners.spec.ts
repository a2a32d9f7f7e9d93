import { rankPoolHosts } from '@buckthornlug/core/slots/poolOwner.js';
import test from 'ava';
import fc from 'fast-check';

import type { HostContext, HostRecord, MembershipView } from '../runtime/hostTypes.js';
import { takesWork } from '../runtime/takesWork.js';
import { createPoolOwners } from './poolOwners.js';

const endpoint = { address: '127.0.0.1', port: 1 };
const services = ['parts-desk', 'pickups'];
const zones = ['lagos-a', 'lagos-b'];

const hostArbitrary: fc.Arbitrary<HostRecord> = fc.record({
  hostId: fc.constantFrom('self', 'h1', 'h2', 'h3', 'h4'),
  region: fc.constant('lagos'),
  availabilityZone: fc.constantFrom(...zones),
  incarnation: fc.constant(1),
  state: fc.constantFrom('alive' as const, 'suspected' as const, 'failed' as const),
  isLeaving: fc.boolean(),
  roles: fc.constantFrom(['entry'], ['control']),
  internal: fc.constant(endpoint),
  callers: fc.constant(endpoint),
  admin: fc.constant(endpoint),
  documentVersion: fc.constant(1),
});

const membershipArbitrary = fc.uniqueArray(hostArbitrary, { selector: (host) => host.hostId });

/** The owner by all hosts, computed from nothing kept. */
function ownerByAll(hosts: readonly HostRecord[], zone: string, service: string, leaves: boolean) {
  const mayOwn = (host: HostRecord) => (host.hostId === 'self' ? !leaves : takesWork(host));
  const hostIds = hosts
    .filter((host) => host.availabilityZone === zone && mayOwn(host))
    .map((host) => host.hostId);
  return rankPoolHosts(zone, service, hostIds)[0];
}

function createOwners() {
  const world = { hosts: [] as readonly HostRecord[] };
  const membership = { hosts: () => world.hosts } as unknown as MembershipView;
  const settings = { hostId: 'self', availabilityZone: 'lagos-a' };
  const owners = createPoolOwners({ settings } as unknown as HostContext, { membership });
  return { world, owners };
}

test('owners kept over changes of membership equal those by all hosts', (t) => {
  const property = fc.property(
    fc.array(membershipArbitrary, { minLength: 1, maxLength: 8 }),
    fc.nat({ max: 10 }),
    (memberships, leavesAt) => {
      const { world, owners } = createOwners();
      const known = new Map<string, string | undefined>();
      let version = 0;
      for (const [index, hosts] of memberships.entries()) {
        world.hosts = hosts;
        if (index === leavesAt) owners.leave();
        const isChanged = owners.localVersion() !== version;
        version = owners.localVersion();
        for (const zone of zones) {
          for (const service of services) {
            const expected = ownerByAll(hosts, zone, service, index >= leavesAt);
            t.is(owners.ownerOf(zone, service), expected);
            if (zone !== 'lagos-a') continue;
            if (!isChanged) t.is(expected, known.get(service));
            known.set(service, expected);
          }
        }
      }
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 7, numRuns: 1000 }));
});

test('a change in another zone, or of versions alone, leaves the local owners as they are', (t) => {
  const { world, owners } = createOwners();
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
