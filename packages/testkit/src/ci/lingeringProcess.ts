import test, { registerCompletionHandler } from 'ava';

import { lingeringLine } from './verdict.js';

/** Time after the tests of a file after which its process should have ended. */
const graceMs = 10_000;

// Loaded into the process of each test file, since the runner does not say which file it waits for.

function report(): void {
  const resources = process.getActiveResourcesInfo().join(', ');
  process.stderr.write(`${lingeringLine(test.meta.file, resources)}\n`);
}

registerCompletionHandler(() => {
  setTimeout(report, graceMs).unref();
});

// The runner ends what goes on after its time limit; a hook that waits for ever has not completed.
process.once('SIGTERM', () => {
  report();
  process.exit(1);
});
