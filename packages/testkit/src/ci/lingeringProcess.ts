import test, { registerCompletionHandler } from 'ava';

import { lingeringLine } from './verdict.js';

/** Time after the tests of a file after which its process should have ended. */
const graceMs = 10_000;

// Loaded into the process of each test file. The runner ends a process that goes on, but does not name its file.
registerCompletionHandler(() => {
  setTimeout(() => {
    const resources = process.getActiveResourcesInfo().join(', ');
    process.stderr.write(`${lingeringLine(test.meta.file, resources)}\n`);
  }, graceMs).unref();
});
