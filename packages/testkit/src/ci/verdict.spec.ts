import test from 'ava';

import { knownTitles, lingeringLine, mayLand, readVerdict } from './verdict.js';

const tap = [
  'TAP version 13',
  'ok 1 - core › a › first',
  'not ok 2 - core › a › second',
  'not ok 3 - core › a › third',
  'ok 4 - core › a › left out # SKIP',
].join('\n');

test('a failed test that is listed does not keep a run from landing, any other does', (t) => {
  const known = knownTitles('# comment\ntest: second\ncommand: npx ava\ntest: third\n');
  t.deepEqual(known, ['second', 'third']);
  t.true(mayLand(readVerdict(tap, known), 1));
  t.false(mayLand(readVerdict(tap, ['second']), 1));
  t.deepEqual(readVerdict(tap, ['second']).failed, ['core › a › third']);
});

test('a run without tests, or one that ended badly without a failed test, does not land', (t) => {
  t.false(mayLand(readVerdict('TAP version 13', []), 0));
  t.false(mayLand(readVerdict('ok 1 - core › a', []), 1));
});

test('a known failure does not excuse a test file that does not exit', (t) => {
  const known = ['second', 'third'];
  const errorOutput = `level=warn event=other\n${lingeringLine('a.spec.js', 'Timeout')}\n`;
  const verdict = readVerdict(tap, known, errorOutput);
  t.deepEqual(verdict.lingering, ['test file does not exit: a.spec.js (Timeout)']);
  t.false(mayLand(verdict, 1));
  t.true(mayLand(readVerdict(tap, known, 'level=warn event=other\n'), 1));
});
