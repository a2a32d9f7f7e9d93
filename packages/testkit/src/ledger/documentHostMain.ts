import { readFile } from 'node:fs/promises';

import { startHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import { checkSettings } from '@buckthornlug/protocol/settings/settings.js';

import { valueOf } from '../fakes/results.js';

/** A host as a process of its own whose document is in force from the start: `<settings> <document>`. */

async function readJson(path: string): Promise<unknown> {
  return JSON.parse(await readFile(path, 'utf8')) as unknown;
}

const [settingsPath = '', documentPath = ''] = process.argv.slice(2);
const settings = valueOf(checkSettings(await readJson(settingsPath)));
const document = valueOf(checkDocument(await readJson(documentPath)));
const host = valueOf(
  await startHost(settings, { document: { version: 1, sectionVersions: {}, document } }),
);
process.once('SIGTERM', () => {
  host.stop().then(
    () => process.exit(0),
    () => process.exit(1),
  );
});
