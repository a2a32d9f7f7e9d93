import test from 'ava';

import type { HostRecord } from '../runtime/hostTypes.js';
import { UpdateSources } from './updateSources.js';

const endpoint = { address: '127.0.0.1', port: 1 };

function hostOf(hostId: string, state: HostRecord['state'] = 'alive'): HostRecord {
  return {
    hostId,
    region: 'lagos',
    availabilityZone: 'lagos-a',
    incarnation: 1,
    state,
    roles: ['entry'],
    internal: endpoint,
    callers: endpoint,
    admin: endpoint,
    documentVersion: 1,
  };
}

/** Sources of the host `self` in a membership set by the test; counts filter calls on the hosts. */
function createSources() {
  const membership = { hosts: [] as readonly HostRecord[], filterCalls: 0 };
  const setHosts = (...hosts: readonly HostRecord[]) => {
    const list = [...hosts];
    const filter = list.filter.bind(list);
    list.filter = ((predicate: (host: HostRecord) => boolean) => {
      membership.filterCalls += 1;
      return filter(predicate);
    }) as typeof list.filter;
    membership.hosts = list;
  };
  const peer = { hostId: 'peer', region: 'lagos', availabilityZone: 'lagos-a', internal: endpoint };
  const sources = new UpdateSources({
    settings: {
      hostId: 'self',
      availabilityZone: 'lagos-a',
      roles: ['entry'],
      peers: [peer],
    },
    controlMembers: [],
    membership: () => ({ hosts: () => membership.hosts }),
    zoneRelays: () => [],
  });
  return { membership, setHosts, sources };
}

test('the list of hosts is filtered once after each change of the membership', (t) => {
  const { membership, setHosts, sources } = createSources();
  setHosts(hostOf('self'), hostOf('other'));
  for (let poll = 0; poll < 10; poll += 1) t.deepEqual(sources.list(), ['other']);
  t.is(membership.filterCalls, 1);
  setHosts(hostOf('self'), hostOf('other', 'failed'), hostOf('new'));
  for (let poll = 0; poll < 10; poll += 1) t.deepEqual(sources.list(), ['new']);
  t.is(membership.filterCalls, 2);
});

test('a host that knows no other participating host polls the peers of its settings', (t) => {
  const { setHosts, sources } = createSources();
  t.deepEqual(sources.list(), ['peer']);
  setHosts(hostOf('self'), hostOf('gone', 'left'));
  t.deepEqual(sources.list(), ['peer']);
});
