import type { ServerResponse } from 'node:http';

import type { StoredAnswer } from '@buckthornlug/protocol/steering/ledgerTypes.js';

import type { AnswerSink } from './callTypes.js';

/**
 * Creates a sink that passes the answer on while it arrives.
 *
 * @param response - answer to the caller
 * @param extraFields - header fields that are added
 */
export function createStreamingSink(
  response: ServerResponse,
  extraFields: readonly string[],
): AnswerSink {
  return {
    start: (status, fields) => {
      response.writeHead(status, [...fields, ...extraFields]);
    },
    write: (chunk) => response.write(chunk),
    onDrain: (resume) => {
      response.once('drain', resume);
    },
    end: () => {
      response.end();
    },
  };
}

/** A sink that keeps the whole answer up to a bound. */
export interface StoringSink extends AnswerSink {
  /** The answer; its body is absent where it was larger than the bound. */
  readonly stored: () => StoredAnswer;
  /** Sends what was kept to the caller. */
  readonly sendTo: (response: ServerResponse, extraFields: readonly string[]) => void;
}

function toHeaderPairs(fields: readonly string[]): [string, string][] {
  const pairs: [string, string][] = [];
  for (let index = 0; index + 1 < fields.length; index += 2) {
    pairs.push([fields[index] ?? '', fields[index + 1] ?? '']);
  }
  return pairs;
}

/**
 * Creates a sink that keeps the answer until its outcome is committed.
 *
 * @param maxBytes - largest body that is kept
 */
export function createStoringSink(maxBytes: number): StoringSink {
  let answerStatus = 0;
  let answerFields: readonly string[] = [];
  let chunks: Buffer[] = [];
  let bodyBytes = 0;
  const isTooLarge = () => bodyBytes > maxBytes;
  return {
    start: (status, fields) => {
      answerStatus = status;
      answerFields = fields;
    },
    write: (chunk) => {
      bodyBytes += chunk.length;
      if (isTooLarge()) chunks = [];
      else chunks.push(chunk);
      return true;
    },
    onDrain: (resume) => resume(),
    end: () => undefined,
    stored: () => {
      const head = { status: answerStatus, headers: toHeaderPairs(answerFields) };
      if (isTooLarge()) return head;
      return { ...head, bodyBase64: Buffer.concat(chunks).toString('base64') };
    },
    sendTo: (response, extraFields) => {
      response.writeHead(answerStatus, [...answerFields, ...extraFields]);
      response.end(Buffer.concat(chunks));
    },
  };
}

/**
 * Sends a stored answer.
 *
 * @param response - answer to the caller
 * @param answer - answer of an earlier call under the same identity
 * @param extraFields - header fields that are added
 */
export function sendStored(
  response: ServerResponse,
  answer: StoredAnswer,
  extraFields: readonly string[],
): void {
  response.writeHead(answer.status, [...answer.headers.flat(), ...extraFields]);
  response.end(Buffer.from(answer.bodyBase64 ?? '', 'base64'));
}
