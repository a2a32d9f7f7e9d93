import test from 'ava';
import fc from 'fast-check';

import { decodeRoutingUpdate } from './decodeRoutingUpdate.js';

const record = {
  backendId: 'b-1',
  bornAtMs: 1,
  service: 'desk',
  availabilityZone: 'north-a',
  endpoint: { address: '10.0.0.1', port: 80 },
  slots: 3,
  sequence: 1,
  state: 'ready',
  coldUntilMs: 0,
  revision: 1,
};

function updateWith(...backends: readonly unknown[]) {
  const position = { routingVersion: 1, evacuationRevision: 0, registryRevision: 2 };
  return { position, backends, silentMs: 0, wallMs: 1 };
}

test('an odd record is skipped alone', (t) => {
  const odd = { ...record, backendId: 'b-2', endpoint: { address: '10.0.0.1', port: 65_536 } };
  const decoded = decodeRoutingUpdate(updateWith(odd, record))._unsafeUnwrap();
  t.is(decoded.skippedRecords, 1);
  t.deepEqual(
    decoded.update.backends.map(({ backendId }) => backendId),
    ['b-1'],
  );
});

test('any record is either usable or skipped', (t) => {
  fc.assert(
    fc.property(
      fc.jsonValue({ maxDepth: 8 }),
      fc.constantFrom(...Object.keys(record)),
      (value, field) => {
        const decoded = decodeRoutingUpdate(updateWith({ ...record, [field]: value }, record));
        const { update, skippedRecords } = decoded._unsafeUnwrap();
        return update.backends.length + skippedRecords === 2 && update.backends.length >= 1;
      },
    ),
    { seed: 1, numRuns: 500 },
  );
  t.pass();
});
