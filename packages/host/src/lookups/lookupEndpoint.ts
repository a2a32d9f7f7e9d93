import type { IncomingMessage, ServerResponse } from 'node:http';

import { lookupPath } from '@buckthornlug/protocol/calls/callHeaders.js';
import { failure } from '@buckthornlug/protocol/results/failure.js';

import { sendRefusal } from '../calls/refusal.js';
import type { LookupAnswers } from './lookupAnswers.js';

const servicePrefix = `${lookupPath}?service=`;

/** Parses the `service` parameter of a look-up; undefined if there is none. */
function parseService(url: string): string | undefined {
  if (url.startsWith(servicePrefix) && !url.includes('&') && !url.includes('%')) {
    return url.slice(servicePrefix.length);
  }
  const queryAt = url.indexOf('?');
  if (queryAt < 0) return undefined;
  return new URLSearchParams(url.slice(queryAt + 1)).get('service') ?? undefined;
}

/** Creates the endpoint for look-ups. */
export function createLookupEndpoint(answers: LookupAnswers) {
  return (request: IncomingMessage, response: ServerResponse): void => {
    if (request.method !== 'GET' && request.method !== 'HEAD') {
      sendRefusal(response, failure('BL7002', 'a look-up is a GET request'));
      return;
    }
    const service = parseService(request.url ?? '');
    if (service === undefined || service === '') {
      sendRefusal(response, failure('BL7002', 'the parameter "service" is missing'));
      return;
    }
    const answer = answers.answer(service, request.socket.remoteAddress ?? '');
    if (answer.isErr()) {
      sendRefusal(response, answer.error);
      return;
    }
    response.writeHead(200, answer.value.fields as string[]);
    response.end(answer.value.body);
  };
}
