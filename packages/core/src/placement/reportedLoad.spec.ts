import test from 'ava';

import { parseReportedLoad } from './reportedLoad.js';

/** Each row: title, value of the field. */
const reports: readonly (readonly [string, string | undefined])[] = [
  ['three figures', '3,0,8'],
  ['a work time', '3,1,8,250'],
  ['spaces', ' 3, 1 ,8 , 100'],
  ['a work time of zero', '3,1,8,0'],
  ['a huge work time', '3,1,8,99999999'],
  ['no field', undefined],
  ['an empty field', ''],
  ['two figures', '3,0'],
  ['an empty figure', '3,,8'],
  ['a negative figure', '3,-1,8'],
  ['a work time that is no number', '3,0,8,slow'],
  ['an infinite figure', '3,1e400,8'],
  ['a figure of 7 digits', `3,${'9'.repeat(7)},8`],
  ['a figure of 400 digits', `${'9'.repeat(400)},0,8`],
  ['an exponent', '3,1e4,8'],
  ['a hexadecimal figure', '0x7f,0,8'],
];

for (const [title, text] of reports) {
  test(`a load report with ${title}`, (t) => t.snapshot(parseReportedLoad(text)));
}
