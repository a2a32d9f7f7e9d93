import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';

import test from 'ava';

import { createFleetSettings } from '../fakes/hostSettings.js';
import { startHostProcess } from './hostProcess.js';

test('a host process starts, and a planned stop ends it with status 0', async (t) => {
  const workFolder = await mkdtemp(`${tmpdir()}/buckthornlug-`);
  t.teardown(() => rm(workFolder, { recursive: true }));
  const [settings] = createFleetSettings([
    { hostId: 'north-1', region: 'north', availabilityZone: 'north-a' },
  ]);
  if (settings === undefined) throw new Error('settings are missing');
  const host = await startHostProcess(settings, { workFolder });
  t.teardown(() => host.kill());
  t.false(host.ended());
  t.is(await host.stop(), 0);
  t.true(host.ended());
});
