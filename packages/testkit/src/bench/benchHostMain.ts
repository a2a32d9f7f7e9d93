import { readFile } from 'node:fs/promises';

import { startHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import { checkSettings } from '@buckthornlug/protocol/settings/settings.js';

import { valueOf } from '../fakes/results.js';
import { inForce } from '../fakes/testDocument.js';

/**
 * A host process with a document in force from the start:
 * `benchHostMain.js <file with settings and document>`. Answers the message `cpu` of its parent with
 * the processor time used so far.
 */

const given = JSON.parse(await readFile(process.argv[2] ?? '', 'utf8')) as Record<string, unknown>;
const settings = valueOf(checkSettings(given.settings));
const document = valueOf(checkDocument(given.document));
const host = valueOf(await startHost(settings, { document: inForce(document) }));

process.on('message', () => {
  const { user, system } = process.cpuUsage();
  process.send?.({ cpuUs: user + system });
});
process.once('SIGTERM', () => {
  host
    .stop()
    .then(() => process.disconnect())
    .catch((error: unknown) => console.error(error));
});
process.send?.({ ready: true });
