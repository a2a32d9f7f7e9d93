import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { setTimeout as delay } from 'node:timers/promises';

import { startHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import test from 'ava';

import { createFleetSettings } from '../fakes/hostSettings.js';

const stopAfterMs = [0, 1, 2, 5, 10, 20, 40, 80];

test('a host that is stopped while its group forms leaves no replica running', async (t) => {
  const dataFolder = await mkdtemp(`${tmpdir()}/buckthornlug-early-`);
  t.teardown(() => rm(dataFolder, { recursive: true, force: true }));
  for (const afterMs of stopAfterMs) {
    const [settings] = createFleetSettings(
      [
        {
          hostId: `a-${afterMs}`,
          region: 'north',
          availabilityZone: 'north-a',
          roles: ['control'],
        },
      ],
      {
        dataFolder,
        logLevel: 'info',
        groups: [{ id: 'control', members: [`a-${afterMs}`] }],
      },
    );
    const started: string[] = [];
    let isStopped = false;
    const writeLogLine = (line: string) => {
      if (isStopped && line.includes('event=replicaStarted')) started.push(line);
    };
    const host = (await startHost(settings!, { writeLogLine }))._unsafeUnwrap();
    await delay(afterMs);
    await host.stop();
    isStopped = true;
    await delay(50);
    t.deepEqual(started, []);
  }
});
