import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import { joinSections, splitSections } from '@buckthornlug/protocol/document/sections.js';
import test from 'ava';

import { checkChangedSections } from './changedSectionCheck.js';

const service = (hostName: string, rank = 'urgent') => ({
  hostNames: [hostName],
  kinds: [{ id: 'page', match: {}, rank, execution: 'idempotent', timeLimitMs: 750 }],
});
const traffic = (drained: string[] = []) => ({
  shiftCap: { stepPermille: 300, stepIntervalMs: 1000, maxShiftedCallsPerS: 50 },
  drainedRegions: drained,
});
const network = (zones: string[]) => ({
  regions: [{ id: 'north', availabilityZones: zones }],
  zoneDelayMs: 3,
  callerDelayMs: 1,
});
const blocks = (availabilityZone: string) => [{ block: '127.40.0.0/16', availabilityZone }];

const before = checkDocument({
  format: 1,
  teams: [{ id: 'all', sections: ['*'], keys: [{ id: 'k1', secret: 'secret-of-team-all' }] }],
  network: network(['north-a', 'north-b']),
  ranks: [{ id: 'urgent', targetMs: 250, floorPermille: 100 }],
  clientBlocks: { here: blocks('north-a') },
  services: { shop: service('shop.example'), yard: service('yard.example') },
  traffic: { shop: traffic(), yard: traffic() },
})._unsafeUnwrap();

const changes: [section: string, content: unknown][] = [
  ['services/shop', service('shop.example', 'unknown-rank')],
  ['services/shop', service('yard.example')],
  ['services/shop', service('other.example')],
  ['services/shop', null],
  ['services/shop', { hostNames: 3 }],
  ['services/yard', service('shop.example')],
  ['services/yard', null],
  ['services/new', service('new.example')],
  ['services/new', service('shop.example')],
  ['services/Bad Name', service('bad.example')],
  ['traffic/shop', traffic(['north'])],
  ['traffic/shop', traffic(['unknown'])],
  ['traffic/shop', null],
  ['traffic/yard', null],
  ['traffic/new', traffic()],
  ['clientBlocks/here', blocks('unknown')],
  ['clientBlocks/here', null],
  ['clientBlocks/there', blocks('north-b')],
  ['network', network(['north-a'])],
  ['network', network(['north-b'])],
  ['network', null],
  ['ranks', [{ id: 'calm', targetMs: 250, floorPermille: 100 }]],
];

test('a check of the changed sections gives the same result as a check of the whole document', (t) => {
  let accepted = 0;
  for (const [firstName, firstContent] of changes) {
    for (const [secondName, secondContent] of changes) {
      const changed = { [firstName]: firstContent, [secondName]: secondContent };
      const sections = splitSections(before);
      for (const [name, content] of Object.entries(changed)) {
        if (content === null) sections.delete(name);
        else sections.set(name, content);
      }
      const fullCheck = checkDocument(joinSections(sections)).unwrapOr(undefined);
      const incrementalCheck = checkChangedSections(changed, before);
      t.deepEqual(incrementalCheck, fullCheck, JSON.stringify(changed));
      if (incrementalCheck !== undefined) accepted += 1;
    }
  }
  t.true(accepted >= 20, `${accepted} changes were valid`);
});
