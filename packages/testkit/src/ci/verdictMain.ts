import { readFile } from 'node:fs/promises';

import { knownTitles, mayLand, readVerdict } from './verdict.js';

/** Prints the verdict of a test run: arguments are the TAP file, the runner's exit status and the file of its error output. */
const [tapPath = '', exitStatus = '1', errorPath = ''] = process.argv.slice(2);
const tap = await readFile(tapPath, 'utf8');
const errorOutput = await readFile(errorPath, 'utf8');
const known = knownTitles(await readFile('KNOWN-RED.txt', 'utf8').catch(() => ''));
const verdict = readVerdict(tap, known, errorOutput);

for (const title of verdict.failed) console.log(`failed: ${title}`);
for (const line of verdict.lingering) console.log(line);
for (const title of verdict.knownRed) console.log(`known red: ${title}`);
console.log(`${verdict.passed} passed, ${verdict.failed.length} failed`);
if (!mayLand(verdict, Number(exitStatus))) {
  process.exitCode = 1;
  if (verdict.failed.length === 0) {
    console.log(`the runner ended with ${exitStatus}: a test file did not exit or ended by itself`);
  }
}
