import type { ServerResponse } from 'node:http';

import type { StoredAnswer } from '@buckthornlug/protocol/steering/ledgerTypes.js';

import type { AnswerSink } from './callTypes.js';

/**
 * Creates a sink that streams the answer to the caller.
 *
 * @param extraFields - header fields to add, names and values in turn
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

/** A sink that buffers the answer instead of sending it. */
export interface StoringSink extends AnswerSink {
  /** Returns the answer; without a body if the body exceeded `maxBytes`. */
  readonly stored: () => StoredAnswer;
  /** Sends the buffered answer to the caller. */
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
 * Creates a sink that buffers the answer until its outcome is committed.
 *
 * @param maxBytes - maximum size of a buffered body; a larger body is discarded
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
 * Sends the stored answer of an earlier call with the same identity.
 *
 * @param extraFields - header fields to add, names and values in turn
 */
export function sendStored(
  response: ServerResponse,
  answer: StoredAnswer,
  extraFields: readonly string[],
): void {
  response.writeHead(answer.status, [...answer.headers.flat(), ...extraFields]);
  response.end(Buffer.from(answer.bodyBase64 ?? '', 'base64'));
}
