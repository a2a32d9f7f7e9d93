import test from 'ava';

import { replayWindowMs, ReplayWindow } from './replayWindow.js';
import { signRequest, verifyRequest, type SignedRequest } from './requestSignature.js';
import { isValidKeyField, isSignedBy, signText } from './signature.js';

const oldKey = { id: 'k1', secret: 'first-secret-0123456789' };
const newKey = { id: 'k2', secret: 'second-secret-0123456789' };
const request: SignedRequest = {
  method: 'POST',
  path: '/rpc/membership.deliver',
  routing: 'rank 0',
  body: '{"a":1}',
};
const parts = { hostId: 'h1', toHostId: 'h9', sentAtMs: 1_000_000, nonce: 'n1' };
const nowMs = parts.sentAtMs + 50;
const hostId = parts.toHostId;
const field = signRequest(newKey, request, parts);

test('a request signed with any valid key is accepted, and only once', (t) => {
  const verifier = { hostId, keys: [oldKey, newKey], replayWindow: new ReplayWindow() };
  const verify = () => verifyRequest(verifier, request, field, nowMs);
  t.is(verify().unwrapOr(''), 'h1');
  t.true(verify().isErr());
});

const refusals: {
  fault: string;
  keys?: (typeof oldKey)[];
  receiver?: string;
  received?: Partial<SignedRequest>;
  given?: unknown;
  atMs?: number;
}[] = [
  { fault: 'a key that was withdrawn', keys: [oldKey] },
  {
    fault: 'a key of the same id with another secret',
    keys: [{ ...newKey, secret: 'x'.repeat(20) }],
  },
  { fault: 'another method', received: { method: 'GET' } },
  { fault: 'another path', received: { path: '/rpc/membership.other' } },
  { fault: 'other routing fields', received: { routing: 'rank 2' } },
  { fault: 'another body', received: { body: '{"a":2}' } },
  { fault: 'a missing body', received: { body: undefined } },
  { fault: 'another sender', given: field.replace('h1', 'h2') },
  { fault: 'another receiver', receiver: 'h8' },
  {
    fault: 'a receiver replaced in the signature field',
    receiver: 'h8',
    given: field.replace('h9', 'h8'),
  },
  { fault: 'another time', given: field.replace('1000000', '1000001') },
  { fault: 'another nonce', given: field.replace('n1', 'n2') },
  { fault: 'no signature', given: undefined },
  { fault: 'a truncated signature', given: field.slice(0, -1) },
  { fault: 'missing parts', given: 'h1 1000000' },
  { fault: 'a request sent before the replay window', atMs: parts.sentAtMs + replayWindowMs + 1 },
];

for (const refusal of refusals) {
  const { fault, keys = [newKey], receiver = hostId, received = {}, given = field } = refusal;
  const isMissing = fault === 'no signature';
  test(`a request is refused with BL6001 and the secret is not disclosed: ${fault}`, (t) => {
    const result = verifyRequest(
      { hostId: receiver, keys, replayWindow: new ReplayWindow() },
      { ...request, ...received },
      isMissing ? undefined : given,
      refusal.atMs ?? nowMs,
    );
    const problem = result.isErr() ? result.error : undefined;
    t.is(problem?.code, 'BL6001');
    t.false(problem?.detail.includes(newKey.secret));
  });
}

test('a refused request is not entered in the replay window', (t) => {
  const window = new ReplayWindow();
  t.true(
    verifyRequest({ hostId, keys: [oldKey], replayWindow: window }, request, field, nowMs).isErr(),
  );
  t.true(
    verifyRequest({ hostId, keys: [newKey], replayWindow: window }, request, field, nowMs).isOk(),
  );
});

test('the replay window still refuses a replay of the latest request after more requests than fit', (t) => {
  const window = new ReplayWindow();
  for (let index = 0; index < 120_000; index += 1) window.accept(`h1 ${index}`, nowMs, nowMs);
  t.false(window.accept('h1 119999', nowMs, nowMs));
});

test('a signature is valid only for its text and the key that it names', (t) => {
  const signature = signText(oldKey, 'text');
  t.true(isSignedBy([newKey, oldKey], 'text', signature));
  t.false(isSignedBy([newKey], 'text', signature));
  t.false(isSignedBy([oldKey], 'texts', signature));
  t.false(isSignedBy([oldKey], 'text', 'k1'));
});

test('a key field is valid only with the exact id and secret of a key', (t) => {
  t.true(isValidKeyField([oldKey, newKey], `k2:${newKey.secret}`));
  t.false(isValidKeyField([oldKey], `k2:${newKey.secret}`));
  t.false(isValidKeyField([oldKey, newKey], `k1:${newKey.secret}`));
  t.false(isValidKeyField([oldKey], oldKey.secret));
});
