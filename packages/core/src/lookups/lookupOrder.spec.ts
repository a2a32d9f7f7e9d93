import test from 'ava';

import { compileNetwork } from '../table/networkEntry.js';
import { orderHosts } from './lookupOrder.js';

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

test('the pool owner comes first, then its zone, its region and other regions by delay', (t) => {
  const ordered = orderHosts(network, hosts, {
    service: 'parts-desk',
    availabilityZone: 'lagos-a',
    poolOwnerId: 'lagos-a-2',
  });
  t.is(ordered[0]?.hostId, 'lagos-a-2');
  t.deepEqual(
    ordered.map((host) => host.availabilityZone),
    ['lagos-a', 'lagos-a', 'lagos-b', 'lagos-b', 'kano-a', 'kano-a', 'abuja-a', 'abuja-a'],
  );
});

test('the order does not depend on the order in which hosts are known', (t) => {
  const question = { service: 's', availabilityZone: 'lagos-b', poolOwnerId: undefined };
  const reversed = [...hosts].reverse();
  t.deepEqual(orderHosts(network, hosts, question), orderHosts(network, reversed, question));
});
