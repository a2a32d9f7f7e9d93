import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import test from 'ava';

import { summarizeChange } from './changes.js';

function sampleDocument(): SteeringDocument {
  return checkDocument({
    format: 1,
    teams: [{ id: 'all', sections: ['*'], keys: [{ id: 'k', secret: '0123456789abcdef' }] }],
    network: {
      regions: [
        { id: 'north', availabilityZones: ['north-a'] },
        { id: 'south', availabilityZones: ['south-a'] },
      ],
      zoneDelayMs: 3,
      callerDelayMs: 1,
    },
    ranks: [{ id: 'urgent', targetMs: 250, floorPermille: 100 }],
    services: {
      shop: {
        hostNames: ['shop.example'],
        kinds: [
          { id: 'page', match: {}, rank: 'urgent', execution: 'idempotent', timeLimitMs: 750 },
        ],
      },
    },
    traffic: {
      shop: { shiftCap: { stepPermille: 300, stepIntervalMs: 1000, maxShiftedCallsPerS: 50 } },
    },
  })._unsafeUnwrap();
}

test('a drain moves the whole traffic of the region in steps under the cap', (t) => {
  const before = sampleDocument();
  const after = structuredClone(before);
  after.traffic.shop?.drainedRegions.push('north');
  t.snapshot(summarizeChange(before, after));
});

test('an unchanged document has no changed sections and no moves', (t) => {
  t.deepEqual(summarizeChange(sampleDocument(), sampleDocument()), { sections: [], moves: [] });
});

test('added and removed sections are listed', (t) => {
  const before = sampleDocument();
  const after = structuredClone(before);
  after.clientBlocks.north = [{ block: '127.40.0.0/16', availabilityZone: 'north-a' }];
  t.deepEqual(summarizeChange(before, after).sections, [
    { section: 'clientBlocks/north', change: 'added' },
  ]);
  t.deepEqual(summarizeChange(after, before).sections, [
    { section: 'clientBlocks/north', change: 'removed' },
  ]);
});
