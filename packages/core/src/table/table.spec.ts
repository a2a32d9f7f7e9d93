import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import { maxTimerMs } from '@buckthornlug/protocol/common/primitives.js';
import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import test from 'ava';
import fc from 'fast-check';
import ipaddr from 'ipaddr.js';

import { compileClientBlocks, countRebuilt, findZoneOfAddress } from './clientBlockTable.js';
import { findCallerZone, classifyCall, compileTable } from './table.js';

const zoneNames = ['lagos-a', 'lagos-b', 'abuja-a'];

const document: SteeringDocument = checkDocument({
  format: 1,
  teams: [{ id: 'core', sections: ['*'], keys: [{ id: 'k1', secret: '0123456789abcdef' }] }],
  network: {
    regions: [
      { id: 'lagos', availabilityZones: ['lagos-a', 'lagos-b'] },
      { id: 'abuja', availabilityZones: ['abuja-a'] },
      { id: 'kano', availabilityZones: ['kano-a'] },
    ],
    links: [
      { from: 'lagos', to: 'abuja', oneWayDelayMs: 55, linkBytesPerS: 5e8 },
      { from: 'abuja', to: 'kano', oneWayDelayMs: 20, linkBytesPerS: 5e8 },
    ],
    zoneDelayMs: 3.5,
    callerDelayMs: 1,
  },
  ranks: [
    { id: 'urgent', targetMs: 250, floorPermille: 100 },
    { id: 'least', targetMs: 3000, floorPermille: 100 },
  ],
  clientBlocks: {
    west: [
      { block: '10.0.0.0/8', availabilityZone: 'lagos-a' },
      { block: '10.2.0.0/16', availabilityZone: 'lagos-b' },
      { block: '2001:db8::/32', availabilityZone: 'lagos-b' },
    ],
    north: [{ block: '10.2.3.0/24', availabilityZone: 'abuja-a' }],
  },
  services: {
    'parts-desk': {
      hostNames: ['parts.example'],
      kinds: [
        {
          id: 'reserve',
          match: { methods: ['POST'], pathPrefix: '/reserve' },
          rank: 'urgent',
          execution: 'single',
          timeLimitMs: 5000,
        },
        {
          id: 'browse',
          match: {},
          rank: 'least',
          execution: 'idempotent',
          targetMs: 600,
          timeLimitMs: 9000,
        },
      ],
    },
  },
  traffic: {
    'parts-desk': {
      weights: { lagos: 600 },
      drainedRegions: ['abuja'],
      drainedZones: ['lagos-b'],
      shiftCap: { stepPermille: 100, stepIntervalMs: 1000, maxShiftedCallsPerS: 50 },
    },
  },
}).match(
  (checked) => checked,
  (fault) => {
    throw new Error(fault.detail);
  },
);

test('a call is classified by host name, method and path, and the first matching kind wins', (t) => {
  const table = compileTable(document);
  const calls = [
    ['parts.example', 'POST', '/reserve/7'],
    ['Parts.Example:8080', 'GET', '/reserve/7'],
    ['parts.example', 'DELETE', '/'],
    ['other.example', 'GET', '/'],
  ] as const;
  const decisions = calls.map(([name, method, path]) => {
    const found = classifyCall(table, name, method, path);
    if (found === undefined) return 'none';
    return `${found.kind.id} rank ${found.rank} ${found.execution} ${found.targetMs}/${found.timeLimitMs} ms`;
  });
  t.snapshot(decisions);
});

// Guards against calls that end after 1 ms, as a timer that is set beyond its bits does.
test('a time limit or target beyond the longest timer counts as the longest timer', (t) => {
  const service = document.services['parts-desk'];
  if (service === undefined) throw new Error('the service is missing');
  const kinds = service.kinds.map((kind) => ({ ...kind, timeLimitMs: 2 ** 31, targetMs: 1e300 }));
  const services = { ...document.services, 'parts-desk': { ...service, kinds } };
  const table = compileTable({ ...document, services });
  const callClass = classifyCall(table, 'parts.example', 'POST', '/reserve');
  t.is(callClass?.timeLimitMs, maxTimerMs);
  t.is(callClass?.targetMs, maxTimerMs);
});

test('zones are ordered by delay, through other regions if there is no direct link', (t) => {
  const { network } = compileTable(document);
  t.snapshot(network.zonesByDelay.get('lagos-b'));
});

test('a drained region keeps no traffic and a drained zone accepts no calls', (t) => {
  const traffic = compileTable(document).traffic.get('parts-desk');
  t.is(traffic?.keptPermille('lagos'), 600);
  t.is(traffic?.keptPermille('abuja'), 0);
  t.is(traffic?.keptPermille('kano'), 1000);
  t.false(traffic?.acceptsCalls('lagos', 'lagos-b'));
  t.true(traffic?.acceptsCalls('lagos', 'lagos-a'));
});

test('the longest block that contains the address of a caller determines its zone', (t) => {
  const table = compileTable(document);
  const cases = [
    ['10.2.3.9', 'abuja-a'],
    ['10.2.4.1', 'lagos-b'],
    ['10.255.255.255', 'lagos-a'],
    ['::ffff:10.2.3.4', 'abuja-a'],
    ['2001:db8:7::1', 'lagos-b'],
    ['2001:db9::1', undefined],
    ['11.0.0.0', undefined],
    ['9.255.255.255', undefined],
    ['not an address', undefined],
  ] as const;
  for (const [address, zone] of cases) t.is(findCallerZone(table, address), zone, address);
});

const blockArbitrary = fc.record({
  block: fc
    .tuple(fc.integer({ min: 0, max: 3 }), fc.nat(3), fc.nat(255), fc.integer({ min: 0, max: 32 }))
    .map(([a, b, c, length]) => `${a * 64}.${b * 16}.${c}.${c}/${length}`),
  availabilityZone: fc.constantFrom(...zoneNames),
});

/** Looks an address up by trying each block. */
function zoneBySearch(
  blocks: readonly { block: string; availabilityZone: string }[],
  address: string,
) {
  let best: { length: number; zone: string } | undefined;
  const parsed = ipaddr.IPv4.parse(address);
  for (const { block, availabilityZone } of blocks) {
    const [start, length] = ipaddr.IPv4.parseCIDR(block);
    if (!parsed.match(start, length)) continue;
    if (best === undefined || length > best.length) best = { length, zone: availabilityZone };
  }
  return best?.zone;
}

const addressArbitrary = fc
  .tuple(fc.integer({ min: 0, max: 3 }), fc.nat(3), fc.nat(255), fc.nat(255))
  .map(([a, b, c, d]) => `${a * 64}.${b * 16}.${c}.${d}`);

/** Drops later blocks that cover the same addresses as an earlier one. */
function distinct<Block extends { block: string }>(blocks: readonly Block[]): Block[] {
  const seen = new Map<string, Block>();
  for (const block of blocks) {
    const [start, length] = ipaddr.IPv4.parseCIDR(block.block);
    const network = ipaddr.IPv4.networkAddressFromCIDR(`${start.toString()}/${length}`);
    const key = `${network.toString()}/${length}`;
    if (!seen.has(key)) seen.set(key, block);
  }
  return [...seen.values()];
}

test('compiled blocks find the same zone as a search through all blocks', (t) => {
  const property = fc.property(
    fc.array(blockArbitrary, { maxLength: 40 }),
    fc.array(addressArbitrary, { minLength: 1, maxLength: 40 }),
    (drawn, addresses) => {
      const blocks = distinct(drawn);
      const table = compileClientBlocks({ only: blocks }, zoneNames);
      return addresses.every(
        (address) => findZoneOfAddress(table, address) === zoneBySearch(blocks, address),
      );
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 5, numRuns: 150 }));
});

test('a table compiled from the previous one equals one compiled from scratch', (t) => {
  const property = fc.property(
    fc.array(blockArbitrary, { maxLength: 20 }),
    fc.array(blockArbitrary, { maxLength: 20 }),
    fc.array(blockArbitrary, { maxLength: 20 }),
    (kept, before, after) => {
      const previous = compileClientBlocks({ kept, edited: before, removed: before }, zoneNames);
      const groups = { kept, edited: after };
      const incremental = compileClientBlocks(groups, zoneNames, previous);
      t.deepEqual(incremental.pages, compileClientBlocks(groups, zoneNames).pages);
    },
  );
  t.notThrows(() => fc.assert(property, { seed: 6, numRuns: 20 }));
});

test('only the changed section and its pages are recompiled', (t) => {
  const previous = compileTable(document);
  const north = [{ block: '10.2.4.0/24', availabilityZone: 'abuja-a' }];
  const edited = { ...document, clientBlocks: { ...document.clientBlocks, north } };
  const table = compileTable(edited, previous);
  t.deepEqual(countRebuilt(table.clientBlocks, previous.clientBlocks), {
    sectionsParsed: 1,
    pagesBuilt: 1,
  });
  t.is(table.services.get('parts-desk'), previous.services.get('parts-desk'));
  t.is(table.traffic.get('parts-desk'), previous.traffic.get('parts-desk'));
  t.is(table.network, previous.network);
  t.is(findCallerZone(table, '10.2.4.1'), 'abuja-a');
  t.is(findCallerZone(table, '10.2.3.1'), 'lagos-b');
});
