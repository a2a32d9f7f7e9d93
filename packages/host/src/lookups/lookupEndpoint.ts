import type { IncomingMessage, ServerResponse } from 'node:http';

import { lookupPath } from '@buckthornlug/protocol/calls/callHeaders.js';
import { failure } from '@buckthornlug/protocol/results/failure.js';

import { sendRefusal } from '../calls/refusal.js';
import type { LookupAnswers } from './lookupAnswers.js';

const servicePrefix = `${lookupPath}?service=`;

/** Finds the service named by a look-up; undefined where it names none. */
function serviceOf(url: string): string | undefined {
  if (url.startsWith(servicePrefix) && !url.includes('&') && !url.includes('%')) {
    return url.slice(servicePrefix.length);
  }
  const queryAt = url.indexOf('?');
  if (queryAt < 0) return undefined;
  return new URLSearchParams(url.slice(queryAt + 1)).get('service') ?? undefined;
}

/**
 * Creates the endpoint for look-ups.
 *
 * @param answers - answers out of memory
 */
export function createLookupEndpoint(answers: LookupAnswers) {
  return (request: IncomingMessage, response: ServerResponse): void => {
    if (request.method !== 'GET' && request.method !== 'HEAD') {
      sendRefusal(response, failure('BL7002', 'a look-up is a GET request'));
      return;
    }
    const service = serviceOf(request.url ?? '');
    if (service === undefined || service === '') {
      sendRefusal(response, failure('BL7002', 'the parameter service is missing'));
      return;
    }
    const found = answers.answer(service, request.socket.remoteAddress ?? '');
    if (found.isErr()) {
      sendRefusal(response, found.error);
      return;
    }
    response.writeHead(200, found.value.fields as string[]);
    response.end(found.value.body);
  };
}
