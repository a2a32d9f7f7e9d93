import { connect } from 'node:net';

import test from 'ava';

import { testAnnounceKey } from '../fakes/hostSettings.js';
import { createTestDocument, inForce, testHostName, testService } from '../fakes/testDocument.js';
import { startCallFleet } from './callFleet.js';

const maxHeadBytes = 2048;
const maxBodyBytes = 4096;
const answerTimeoutMs = 4000;

const fleet = await startCallFleet({
  hosts: [{ hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a' }],
  overrides: {
    limits: {
      maxHeadBytes,
      maxBodyBytes,
      headTimeoutMs: 300,
      idleBodyTimeoutMs: 300,
      replayBodyBytes: 16,
    },
  },
  document: inForce(createTestDocument()),
  backendHosts: [0],
  slots: 64,
});

test.after.always(() => fleet.stop());

/** Pieces that are written one after the other, with a pause between them. */
interface RawRequest {
  readonly pieces: readonly string[];
  readonly pauseMs?: number;
  /** Whether the sending side of the connection is closed after the last piece. */
  readonly halfCloses?: boolean;
}

/** Sends bytes as they are; resolves to all that came back until the connection ended. */
function sendRaw(raw: RawRequest): Promise<string> {
  const { address, port } = fleet.settings[0]!.listen.callers;
  return new Promise((resolve) => {
    let received = '';
    const socket = connect({ host: address, port, allowHalfOpen: true });
    const timer = setTimeout(() => socket.destroy(), answerTimeoutMs);
    const write = async () => {
      for (const piece of raw.pieces) {
        if (!socket.writable) return;
        socket.write(piece);
        await new Promise((next) => {
          setTimeout(next, raw.pauseMs ?? 0);
        });
      }
      if (raw.halfCloses === true) socket.end();
    };
    socket.on('connect', () => {
      write().catch(() => undefined);
    });
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString('latin1');
    });
    socket.on('end', () => socket.end());
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(received);
    });
  });
}

function head(line: string, ...fields: string[]): string {
  return [line, `Host: ${testHostName}`, 'Connection: close', ...fields, '', ''].join('\r\n');
}

const announce = 'POST /.well-known/buckthornlug/announce HTTP/1.1';
const announceKey = `x-buckthornlug-key: ${testAnnounceKey.id}:${testAnnounceKey.secret}`;

function announcing(content: string, key = announceKey): RawRequest {
  return { pieces: [head(announce, key, `Content-Length: ${content.length}`) + content] };
}

const validAnnouncement = {
  backendId: 'backend-9',
  service: testService,
  availabilityZone: 'lagos-a',
  endpoint: { address: '127.0.0.1', port: 1 },
  slots: 1,
  connectionLimit: 1,
  state: 'warming',
};

interface BadInputCase {
  readonly title: string;
  readonly raw: RawRequest;
  readonly status: number;
  readonly code: string;
}

const cases: readonly BadInputCase[] = [
  {
    title: 'an oversized head',
    raw: { pieces: [head('GET /catalogue HTTP/1.1', `X-Long: ${'x'.repeat(maxHeadBytes)}`)] },
    status: 431,
    code: 'BL3008',
  },
  {
    title: 'a body with a stated length beyond the bound',
    raw: { pieces: [head('POST /stock HTTP/1.1', `Content-Length: ${maxBodyBytes + 1}`)] },
    status: 413,
    code: 'BL3007',
  },
  {
    title: 'a chunked body that grows beyond the bound inside the part that is kept',
    raw: {
      pieces: [
        head('POST /orders HTTP/1.1', 'Transfer-Encoding: chunked', 'x-request-identity: order-1'),
        `${(maxBodyBytes + 1).toString(16)}\r\n${'x'.repeat(maxBodyBytes + 1)}\r\n`,
      ],
    },
    status: 413,
    code: 'BL3007',
  },
  {
    title: 'a head that is not HTTP',
    raw: { pieces: ['\u0000\u0001 what\r\n\r\n'] },
    status: 400,
    code: 'BL3010',
  },
  {
    title: 'a head with two lengths',
    raw: { pieces: [head('POST /stock HTTP/1.1', 'Content-Length: 1', 'Content-Length: 2')] },
    status: 400,
    code: 'BL3010',
  },
  {
    title: 'a head with a length and a chunked coding',
    raw: {
      pieces: [head('POST /s HTTP/1.1', 'Content-Length: 1', 'Transfer-Encoding: chunked')],
    },
    status: 400,
    code: 'BL3010',
  },
  {
    title: 'a path that is no path',
    raw: { pieces: [head('OPTIONS * HTTP/1.1')] },
    status: 400,
    code: 'BL3010',
  },
  {
    title: 'an unknown host name',
    raw: { pieces: ['GET / HTTP/1.1\r\nHost: nowhere.test\r\nConnection: close\r\n\r\n'] },
    status: 404,
    code: 'BL3001',
  },
  {
    title: 'an unknown path of the host itself',
    raw: { pieces: [head('GET /.well-known/buckthornlug/other HTTP/1.1')] },
    status: 404,
    code: 'BL3001',
  },
  {
    title: 'a head that arrives too slowly',
    raw: { pieces: ['GET /catalogue HTTP/1.1\r\n', 'Host: parts.test\r\n'], pauseMs: 200 },
    status: 408,
    code: 'BL3009',
  },
  {
    title: 'a body that pauses for too long',
    raw: { pieces: [head('POST /stock HTTP/1.1', 'Content-Length: 8'), 'x'] },
    status: 408,
    code: 'BL3009',
  },
  {
    title: 'a body that pauses for too long after its call was dispatched',
    raw: {
      pieces: [head('POST /stock HTTP/1.1', 'Content-Length: 1000'), 'x'.repeat(500)],
    },
    status: 400,
    code: 'BL3019',
  },
  {
    title: 'a connection half closed inside a head',
    raw: { pieces: ['GET /catalogue HTTP/1.1\r\nHost: parts'], halfCloses: true },
    status: 400,
    code: 'BL3010',
  },
  {
    title: 'a connection half closed inside a body',
    raw: {
      pieces: [head('POST /stock HTTP/1.1', 'Content-Length: 8'), 'x'],
      halfCloses: true,
    },
    status: 400,
    code: 'BL3010',
  },
  {
    title: 'a connection half closed inside a body after its call was dispatched',
    raw: {
      pieces: [head('POST /stock HTTP/1.1', 'Content-Length: 1000'), 'x'.repeat(500)],
      pauseMs: 100,
      halfCloses: true,
    },
    status: 400,
    code: 'BL3019',
  },
  {
    title: 'a body whose chunks are malformed after its call was dispatched',
    raw: {
      pieces: [
        head('POST /stock HTTP/1.1', 'Transfer-Encoding: chunked'),
        `1f4\r\n${'x'.repeat(500)}\r\n`,
        'no size\r\n',
      ],
      pauseMs: 100,
    },
    status: 400,
    code: 'BL3019',
  },
  {
    title: 'a look-up without a service',
    raw: { pieces: [head('GET /.well-known/buckthornlug/lookup HTTP/1.1')] },
    status: 400,
    code: 'BL7002',
  },
  {
    title: 'a look-up of an unknown service',
    raw: { pieces: [head('GET /.well-known/buckthornlug/lookup?service=none HTTP/1.1')] },
    status: 404,
    code: 'BL7001',
  },
  {
    title: 'an announcement with a wrong key',
    raw: announcing('{}', `x-buckthornlug-key: ${testAnnounceKey.id}:wrong`),
    status: 401,
    code: 'BL4002',
  },
  {
    title: 'an announcement that is broken JSON',
    raw: announcing('{"backendId":'),
    status: 400,
    code: 'BL4001',
  },
  {
    title: 'an announcement with wrong types',
    raw: announcing(JSON.stringify({ ...validAnnouncement, slots: 'three' })),
    status: 400,
    code: 'BL4001',
  },
  {
    title: 'an announcement of an unknown service',
    raw: announcing(JSON.stringify({ ...validAnnouncement, service: 'none' })),
    status: 404,
    code: 'BL4003',
  },
  {
    title: 'an announcement from another availability zone',
    raw: announcing(JSON.stringify({ ...validAnnouncement, availabilityZone: 'lagos-b' })),
    status: 421,
    code: 'BL4004',
  },
];

for (const entry of cases) {
  test(`${entry.title} is answered with ${entry.code}, and the host goes on`, async (t) => {
    const answer = await sendRaw(entry.raw);
    t.regex(answer, new RegExp(`^HTTP/1.1 ${entry.status} `));
    t.regex(answer, new RegExp(`x-buckthornlug-code: ${entry.code}\r\n`, 'i'));
    const after = await fleet.call(0, '/catalogue/poles');
    t.is(after.result, 'answered');
  });
}
