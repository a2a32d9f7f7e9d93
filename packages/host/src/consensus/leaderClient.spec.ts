import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import test from 'ava';
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';

import { encodeBase64 } from './binaryCodec.js';
import type { LeaderReply } from './consensusSchema.js';
import { LeaderClient } from './leaderClient.js';

const timeoutMs = 300;
const committed: LeaderReply = { ok: true, reply: encodeBase64('done') };

type Answer = () => ResultAsync<LeaderReply, Failure>;

const repliesWith =
  (reply: LeaderReply): Answer =>
  () =>
    okAsync<LeaderReply, Failure>(reply);
const refusesWith = (code: 'BL5001' | 'BL5005'): Answer =>
  repliesWith({ ok: false, failure: failure(code, 'no') });
const failsWith =
  (detail: string): Answer =>
  () =>
    errAsync<LeaderReply, Failure>(failure('BL6003', detail));

/** Submits through a client whose requests get the answers in turn; the last one repeats. */
function submitTo(answers: readonly Answer[]) {
  let requestCount = 0;
  const request = () => {
    const answer = answers[Math.min(requestCount, answers.length - 1)] as Answer;
    requestCount += 1;
    return answer();
  };
  const client = new LeaderClient<string, string>({
    groupId: 'control',
    hostId: 'd',
    groupHostIds: () => ['a', 'b', 'c'],
    peers: { request: request as never },
    clock: { nowMs: () => performance.now(), wallMs: () => Date.now() },
    localTask: () => undefined,
  });
  return client.submit('command', timeoutMs);
}

const cases: readonly {
  readonly title: string;
  readonly answers: readonly Answer[];
  readonly code?: string;
}[] = [
  { title: 'no member has a replica in time', answers: [refusesWith('BL5005')], code: 'BL5001' },
  { title: 'no member leads in time', answers: [refusesWith('BL5001')], code: 'BL5001' },
  {
    title: 'no member accepts the connection',
    answers: [failsWith('ECONNREFUSED')],
    code: 'BL5001',
  },
  { title: 'a member stops answering', answers: [failsWith('timeout')], code: 'BL5002' },
  {
    title: 'a member commits it after others were not ready',
    answers: [
      refusesWith('BL5005'),
      refusesWith('BL5001'),
      failsWith('ECONNREFUSED'),
      repliesWith(committed),
    ],
  },
];

for (const { title, answers, code } of cases) {
  test(`a command ends with ${code ?? 'its reply'} if ${title}`, async (t) => {
    const result = await submitTo(answers);
    const seen: string | undefined = result.isErr() ? result.error.code : undefined;
    t.is(seen, code);
  });
}
