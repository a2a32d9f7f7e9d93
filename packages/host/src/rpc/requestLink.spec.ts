import { createTRPCClient } from '@trpc/client';
import test from 'ava';
import { Agent } from 'undici';

import type { AppRouter } from './appRouter.js';
import { createRequestLink } from './requestLink.js';

/** Time within which an aborted request must end; connecting alone would take 10 s to time out. */
const maxAbortMs = 2000;

test('an aborted request ends while its connection is still being established', async (t) => {
  const dispatcher = new Agent({ connect: () => undefined });
  t.teardown(() => dispatcher.destroy());
  const client = createTRPCClient<AppRouter>({
    links: [
      createRequestLink({
        dispatcher,
        origin: 'http://127.0.0.1:1',
        toHostId: 'unreachable-host',
        sign: () => ({}),
        readClock: () => '',
        observeClock: () => undefined,
      }),
    ],
  });
  const controller = new AbortController();
  const reply = client.ping.ping.query(undefined, { signal: controller.signal });
  setTimeout(() => controller.abort(new Error('no reply in 20 ms')), 20);
  const late = new Promise((resolve) => {
    setTimeout(resolve, maxAbortMs, 'late');
  });
  const end = await Promise.race([reply.catch((error: Error) => error.message), late]);
  t.is(end, 'no reply in 20 ms');
});
