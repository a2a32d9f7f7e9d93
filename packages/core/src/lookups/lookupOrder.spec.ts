import test from 'ava';
import fc from 'fast-check';

import { hashText } from '../hash/textHash.js';
import { groupByZone } from '../lists/groupByZone.js';
import { compileNetwork } from '../table/compileNetwork.js';
import { orderHosts, type LookupHost, type LookupQuery } from './lookupOrder.js';

const network = compileNetwork({
  regions: [
    { id: 'lagos', availabilityZones: ['lagos-a', 'lagos-b'] },
    { id: 'abuja', availabilityZones: ['abuja-a'] },
    { id: 'kano', availabilityZones: ['kano-a'] },
  ],
  links: [
    { from: 'lagos', to: 'abuja', oneWayDelayMs: 55, linkBytesPerS: 1000 },
    { from: 'lagos', to: 'kano', oneWayDelayMs: 20, linkBytesPerS: 1000 },
  ],
  zoneDelayMs: 3.5,
  callerDelayMs: 1,
});

const hosts = ['abuja-a', 'kano-a', 'lagos-a', 'lagos-b'].flatMap((availabilityZone) => [
  { hostId: `${availabilityZone}-1`, availabilityZone },
  { hostId: `${availabilityZone}-2`, availabilityZone },
]);

const everyHost = Number.POSITIVE_INFINITY;

const byZone = (list: readonly LookupHost[]) => groupByZone(list, () => true);

/** Reference order: sorts all hosts at once. */
function orderAll(list: readonly LookupHost[], query: LookupQuery): LookupHost[] {
  const { service, availabilityZone, poolOwnerId } = query;
  const zones = network.zonesByDelay.get(availabilityZone) ?? [];
  const delays = new Map(zones.map((zone) => [zone.availabilityZone, zone.oneWayDelayMs]));
  const distanceOf = (host: LookupHost): number => {
    if (host.availabilityZone !== availabilityZone) {
      return delays.get(host.availabilityZone) ?? Number.POSITIVE_INFINITY;
    }
    return host.hostId === poolOwnerId ? -2 : -1;
  };
  const hashOf = (host: LookupHost) => hashText(`${availabilityZone} ${service} ${host.hostId}`);
  return [...list].sort((one, other) => {
    const [near, far] = [distanceOf(one), distanceOf(other)];
    if (near !== far) return near < far ? -1 : 1;
    return hashOf(one) - hashOf(other);
  });
}

test('a limited order is the start of the order of all hosts', (t) => {
  const zones = ['lagos-a', 'lagos-b', 'abuja-a', 'kano-a', 'jos-a', 'not-known'];
  const zone = fc.constantFrom(...zones);
  const hostIds = Array.from({ length: 20 }, (_, index) => `h${index}`);
  const host = fc.record({ hostId: fc.constantFrom(...hostIds), availabilityZone: zone });
  const question = fc.record({
    service: fc.constantFrom('parts-desk', 'pickups'),
    availabilityZone: zone,
    poolOwnerId: fc.option(fc.constantFrom(...hostIds), { nil: undefined }),
  });
  const list = fc.uniqueArray(host, { selector: ({ hostId }) => hostId, maxLength: 20 });
  const property = fc.property(list, question, fc.nat({ max: 21 }), (known, asked, maxHosts) => {
    const expected = orderAll(known, asked);
    t.deepEqual(orderHosts(network, byZone(known), asked, everyHost), expected);
    t.deepEqual(orderHosts(network, byZone(known), asked, maxHosts), expected.slice(0, maxHosts));
  });
  t.notThrows(() => fc.assert(property, { seed: 7, numRuns: 1000 }));
});

test('the pool owner comes first, then the hosts of its zone, its region and other regions by delay', (t) => {
  const question = {
    service: 'parts-desk',
    availabilityZone: 'lagos-a',
    poolOwnerId: 'lagos-a-2',
  };
  const ordered = orderHosts(network, byZone(hosts), question, everyHost);
  t.is(ordered[0]?.hostId, 'lagos-a-2');
  t.deepEqual(
    ordered.map((host) => host.availabilityZone),
    ['lagos-a', 'lagos-a', 'lagos-b', 'lagos-b', 'kano-a', 'kano-a', 'abuja-a', 'abuja-a'],
  );
});

test('the order does not depend on the order of the input', (t) => {
  const question = { service: 's', availabilityZone: 'lagos-b', poolOwnerId: undefined };
  const reversed = [...hosts].reverse();
  t.deepEqual(
    orderHosts(network, byZone(hosts), question, everyHost),
    orderHosts(network, byZone(reversed), question, everyHost),
  );
});
