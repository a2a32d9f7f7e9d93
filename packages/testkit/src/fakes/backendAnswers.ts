import type { IncomingMessage, ServerResponse } from 'node:http';

import { requestIdHeader } from '@buckthornlug/protocol/calls/callHeaders.js';

import type { AnswerFault } from './fakeBackendTypes.js';

/** What stands in the answer of a fake backend server. */
export interface AnswerContent {
  readonly backendId: string;
  readonly answerBytes: number;
  /** Size of the body that came with the request. */
  readonly bodyBytes: number;
}

/** Body that names the request, filled up to the size asked for. */
function createBody(request: IncomingMessage, content: AnswerContent): Buffer {
  const { url, method, headers } = request;
  const named = JSON.stringify({
    backendId: content.backendId,
    bodyBytes: content.bodyBytes,
    method,
    url,
    requestId: headers[requestIdHeader],
    identity: headers['x-request-identity'],
  });
  return Buffer.from(named.padEnd(content.answerBytes, ' '));
}

/** Status lines and fields that make an answer none. */
const brokenHeads = {
  malformed: '200 OK\r\ncontent-length: many',
  statusTooLow: '000 Odd\r\ncontent-length: 0',
  statusTooHigh: '999 Odd\r\ncontent-length: 0',
  switchesProtocols: '101 Switching Protocols\r\ncontent-length: 0',
};

function flushed(response: ServerResponse, part: Buffer): Promise<void> {
  return new Promise((resolve) => {
    response.write(part, () => resolve());
  });
}

/**
 * Answers a request, with a fault where one is asked for.
 *
 * @param request - request of a host
 * @param response - answer to it
 * @param fault - what goes wrong
 * @param content - what stands in the answer
 */
export async function answerWithFault(
  request: IncomingMessage,
  response: ServerResponse,
  fault: AnswerFault,
  content: AnswerContent,
): Promise<void> {
  const body = createBody(request, content);
  const half = body.subarray(0, Math.ceil(body.length / 2));
  const type = { 'content-type': 'application/json' };
  switch (fault) {
    case 'hangs':
      await new Promise((resolve) => {
        response.once('close', resolve);
      });
      return;
    case 'breaksBeforeHead':
      response.socket?.destroy();
      return;
    case 'breaksInHead':
      response.socket?.end('HTTP/1.1 200 OK\r\ncontent-le');
      return;
    case 'cutsLength':
      response.writeHead(200, { ...type, 'content-length': body.length });
      await flushed(response, half);
      response.socket?.end();
      return;
    case 'cutsChunked':
      response.writeHead(200, type);
      await flushed(response, half);
      response.socket?.end();
      return;
    case 'malformed':
    case 'statusTooLow':
    case 'statusTooHigh':
    case 'switchesProtocols':
      response.socket?.write(`HTTP/1.1 ${brokenHeads[fault]}\r\n\r\n`);
      await new Promise((resolve) => {
        response.once('close', resolve);
      });
      return;
    case 'openEnded':
      response.socket?.end(
        Buffer.concat([Buffer.from('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n'), half]),
      );
      return;
    default:
      response.writeHead(200, { ...type, 'content-length': body.length });
      response.end(body);
  }
}
