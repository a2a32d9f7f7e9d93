import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import test from 'ava';
import { okAsync, ResultAsync } from 'neverthrow';

import type { PeerClients } from '../rpc/peerClients.js';
import { encodeBase64 } from './binaryCodec.js';
import type { LeaderReply } from './consensusSchema.js';
import { JoinRequester } from './joinRequester.js';

const hostIds = Array.from({ length: 17 }, (_, index) => `h${index}`);
const added: LeaderReply = { ok: true, reply: encodeBase64(null) };
const noLeader: LeaderReply = { ok: false, failure: failure('BL5001', 'no leader') };

/** Requests of one replica; `undefined` as an answer stands for a host that never answers. */
function createRequester(answer: (hostId: string) => LeaderReply | undefined) {
  const asked: string[] = [];
  const request = (hostId: string) => {
    asked.push(hostId);
    const reply = answer(hostId);
    if (reply !== undefined) return okAsync(reply);
    return new ResultAsync<LeaderReply, Failure>(new Promise(() => {}));
  };
  const peers = { request: request as unknown as PeerClients['request'] };
  let draws = 0;
  const random = () => {
    draws += 1;
    return ((draws * 5) % hostIds.length) / hostIds.length;
  };
  const parts = { peers, groupId: 'control', otherHostIds: () => hostIds, random };
  return { asked, requester: new JoinRequester(parts) };
}

const isLedBy = (leaderId: string) => (hostId: string) =>
  hostId === leaderId ? added : { ...noLeader, leaderId };

test('a few hosts are asked for the leader, which is asked alone from then on', async (t) => {
  const { asked, requester } = createRequester(isLedBy('h7'));
  await requester.request('x/1');
  t.is(asked.length, 4);
  t.is(asked.at(-1), 'h7');
  await requester.request('x/1');
  t.deepEqual(asked.slice(4), ['h7']);
});

test('hosts that never answer do not hold up the search', async (t) => {
  const answered = new Set<string>();
  const { asked, requester } = createRequester((hostId) => {
    if (answered.size === 0 || hostId === 'h7') answered.add(hostId);
    return answered.has(hostId) ? isLedBy('h7')(hostId) : undefined;
  });
  await requester.request('x/1');
  t.is(asked.at(-1), 'h7');
});

test('a leader that refuses is looked for again', async (t) => {
  let leaderId = 'h7';
  const { asked, requester } = createRequester((hostId) => isLedBy(leaderId)(hostId));
  await requester.request('x/1');
  leaderId = 'h3';
  await requester.request('x/1');
  await requester.request('x/1');
  t.is(asked.at(-1), 'h3');
  t.true(asked.length <= 9);
});

test('while there is no leader, a round asks a few hosts only', async (t) => {
  const { asked, requester } = createRequester(() => noLeader);
  for (let round = 0; round < 4; round += 1) await requester.request('x/1');
  t.is(asked.length, 12);
});
