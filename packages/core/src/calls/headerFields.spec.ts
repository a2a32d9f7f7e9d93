import test from 'ava';

import { endToEndFields, fieldValue, isSelfDelimited } from './headerFields.js';

test('hop-by-hop fields, fields named by Connection and fields of hosts are not forwarded', (t) => {
  const kept = endToEndFields([
    'Host',
    'parts.test',
    'Connection',
    'close, X-Hop',
    'X-Hop',
    '1',
    'Transfer-Encoding',
    'chunked',
    'X-Buckthornlug-Code',
    'BL3001',
    'Set-Cookie',
    'a=1',
    'Set-Cookie',
    'b=2',
  ]);
  t.deepEqual(kept, ['Host', 'parts.test', 'Set-Cookie', 'a=1', 'Set-Cookie', 'b=2']);
});

test('a field is found regardless of the case of its name', (t) => {
  t.is(fieldValue(['Content-Length', '5'], 'content-length'), '5');
  t.is(fieldValue(['Content-Length', '5'], 'content-type'), undefined);
});

const framings: readonly (readonly [string, string, number, readonly string[], boolean])[] = [
  ['a content length', 'GET', 200, ['content-length', '3'], true],
  ['a chunked coding', 'GET', 200, ['Transfer-Encoding', 'gzip, Chunked'], true],
  ['a coding other than chunked', 'GET', 200, ['transfer-encoding', 'gzip'], false],
  ['neither length nor coding', 'GET', 200, ['connection', 'close'], false],
  ['a status that has no body', 'GET', 204, [], true],
  ['no body because of HEAD', 'HEAD', 200, [], true],
];

for (const [title, method, status, fields, expected] of framings) {
  test(`an answer with ${title} ${expected ? 'states' : 'does not state'} its end`, (t) => {
    t.is(isSelfDelimited(method, status, fields), expected);
  });
}
