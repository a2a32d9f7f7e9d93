import { failure } from '@buckthornlug/protocol/results/failure.js';
import test from 'ava';
import { errAsync, okAsync } from 'neverthrow';

import type { PeerClients } from '../rpc/peerClients.js';
import { encodeBase64 } from './binaryCodec.js';
import type { LeaderReply } from './consensusSchema.js';
import { JoinRequester } from './joinRequester.js';

const hostIds = Array.from({ length: 17 }, (_, index) => `h${index}`);
const noLeader: LeaderReply = { ok: false, failure: failure('BL5001', 'no leader') };

/** Requests of one replica to hosts that answer as a function of the host says. */
function createRequester(answer: (hostId: string) => LeaderReply | undefined) {
  const asked: string[] = [];
  const request = (hostId: string) => {
    asked.push(hostId);
    const reply = answer(hostId);
    return reply === undefined ? errAsync(failure('BL6003', 'no answer')) : okAsync(reply);
  };
  let draws = 0;
  const random = () => {
    draws += 1;
    return ((draws * 5) % hostIds.length) / hostIds.length;
  };
  const peers = { request: request as unknown as PeerClients['request'] };
  const parts = { peers, groupId: 'control', otherHostIds: () => hostIds, random };
  return { asked, requester: new JoinRequester(parts) };
}

test('the leader is asked through one other host, and directly from then on', async (t) => {
  const { asked, requester } = createRequester((hostId) =>
    hostId === 'h7' ? { ok: true, reply: encodeBase64(null) } : { ...noLeader, leaderId: 'h7' },
  );
  await requester.request('x/1');
  await requester.request('x/1');
  t.deepEqual(asked, ['h5', 'h7', 'h7']);
});

test('a leader that does not answer or leads no more is looked for again', async (t) => {
  let leaderId = 'h7';
  const { asked, requester } = createRequester((hostId) => {
    if (hostId === 'h7') return undefined;
    if (hostId === leaderId) return { ok: true, reply: encodeBase64(null) };
    return { ...noLeader, leaderId };
  });
  await requester.request('x/1');
  leaderId = 'h3';
  await requester.request('x/1');
  t.deepEqual(asked, ['h5', 'h7', 'h10', 'h3']);
});

test('while there is no leader, a round is one request, to another host each time', async (t) => {
  const { asked, requester } = createRequester(() => noLeader);
  for (let round = 0; round < 4; round += 1) await requester.request('x/1');
  t.is(asked.length, 4);
  t.is(new Set(asked).size, 4);
});
