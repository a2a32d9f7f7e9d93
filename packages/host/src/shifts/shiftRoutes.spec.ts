import { readFile } from 'node:fs/promises';

import { ShiftTable } from '@buckthornlug/core/shifts/shiftTable.js';
import { shiftsReplySchema } from '@buckthornlug/protocol/admin/adminSchema.js';
import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import test from 'ava';
import { Hono } from 'hono';

import type { HostRecord } from '../runtime/hostTypes.js';
import { registerShiftRoutes } from './shiftRoutes.js';

const document = checkDocument(
  JSON.parse(await readFile('examples/demo.json', 'utf8')),
)._unsafeUnwrap();

function hostIn(region: string, state: HostRecord['state']): HostRecord {
  return { hostId: `${region}-${state}`, region, state } as HostRecord;
}

test('GET /v1/shifts returns the region of an availability zone that is shifted', async (t) => {
  const [service = ''] = Object.keys(document.services);
  const region = document.network.regions.find((each) => each.availabilityZones.length > 1)!;
  const [zone = ''] = region.availabilityZones;
  const traffic = { [service]: { ...document.traffic[service]!, drainedZones: [zone] } };
  const app = new Hono();
  registerShiftRoutes(app, {
    document: {
      current: () => ({ version: 1, document: { ...document, traffic }, sectionVersions: {} }),
    },
    table: new ShiftTable(),
    membership: () => ({
      hosts: () => document.network.regions.map(({ id }) => hostIn(id, 'alive')),
    }),
    isHeld: () => false,
  });
  const reply = await app.request('/v1/shifts');
  const { shifts } = shiftsReplySchema.parse(await reply.json());
  t.deepEqual(
    shifts.map((shift) => ({ region: shift.region, zone: shift.availabilityZone })),
    [{ region: region.id, zone }],
  );
});

for (const { fault, states, moving } of [
  { fault: 'none', states: ['alive', 'suspected'], moving: [] },
  { fault: 'one of its hosts failed', states: ['alive', 'failed'], moving: [] },
  { fault: 'all of its hosts failed', states: ['failed', 'left'], moving: ['abuja'] },
] as const) {
  test(`GET /v1/shifts lists a region only if all its hosts have failed; fault: ${fault}`, async (t) => {
    const hosts = [hostIn('lagos', 'alive'), ...states.map((state) => hostIn('abuja', state))];
    const app = new Hono();
    registerShiftRoutes(app, {
      document: { current: () => ({ version: 1, document, sectionVersions: {} }) },
      table: new ShiftTable(),
      membership: () => ({ hosts: () => hosts }),
      isHeld: () => false,
    });
    const reply = await app.request('/v1/shifts');
    const { shifts } = (await reply.json()) as { shifts: { region: string }[] };
    t.deepEqual(
      shifts.map(({ region }) => region),
      [...moving],
    );
  });
}
