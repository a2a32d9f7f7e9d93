import { readFile } from 'node:fs/promises';

import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import { checkSettings } from '@buckthornlug/protocol/settings/settings.js';
import test from 'ava';

import { deploymentSettings } from './deployment.js';

for (const name of ['trekpole', 'offcut-mates']) {
  test(`the example document of ${name} is valid`, async (t) => {
    const text = await readFile(`examples/${name}.json`, 'utf8');
    const checked = checkDocument(JSON.parse(text));
    t.true(checked.isOk(), JSON.stringify(checked));
  });
}

test('a plan gives valid settings for every host, with data folders for members only', (t) => {
  const settings = deploymentSettings({
    regions: { north: ['north-a', 'north-b'], south: ['south-a'] },
    hostsPerZone: 2,
    groups: { control: ['north-a-1', 'north-b-1', 'south-a-1'] },
    dataRoot: '/tmp/unused',
    network: '127.20.1',
  });
  t.is(settings.length, 6);
  for (const host of settings) t.true(checkSettings(host).isOk());
  t.deepEqual(
    settings.filter((host) => host.dataFolder !== undefined).map((host) => host.hostId),
    ['north-a-1', 'north-b-1', 'south-a-1'],
  );
});
