import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { CallSignal } from '@buckthornlug/protocol/steering/callSignal.js';
import { err, ok, type Result } from 'neverthrow';

import { BodyGuard, type BodyLimits } from './bodyGuard.js';

/** The body of a call: kept whole, or streamed from the caller once. */
export type RequestBody =
  | { readonly form: 'whole'; readonly bytes: Buffer | null }
  | { readonly form: 'stream'; readonly open: () => Readable };

function parseContentLength(request: IncomingMessage): number | undefined {
  const field = request.headers['content-length'];
  return field === undefined ? undefined : Number(field);
}

/**
 * Tells whether a request has a body at all.
 *
 * @param request - request whose head has arrived
 */
function hasBody(request: IncomingMessage): boolean {
  if (request.headers['transfer-encoding'] !== undefined) return true;
  return (parseContentLength(request) ?? 0) > 0;
}

function tooLarge(limits: BodyLimits): Failure {
  return failure('BL3007', `a body may have ${limits.maxBodyBytes} bytes`);
}

/** Result of receiving a body. */
type ReceivedBody = Result<RequestBody, Failure>;

/** Reads a body up to a bound; what is beyond it stays in the request. */
class BodyReader {
  private readonly chunks: Buffer[] = [];

  private bufferedBytes = 0;

  private readonly idleTimer: NodeJS.Timeout;

  constructor(
    private readonly request: IncomingMessage,
    private readonly bufferLimitBytes: number,
    private readonly limits: BodyLimits,
    private readonly signal: CallSignal,
    private readonly done: (received: ReceivedBody) => void,
  ) {
    this.idleTimer = setTimeout(
      () => this.finish(err(failure('BL3009', 'the body paused for too long'))),
      limits.idleBodyTimeoutMs,
    );
  }

  /** Begins to read. */
  start(): void {
    this.request.on('data', this.onData);
    this.request.once('end', this.onEnd);
    this.request.once('close', this.onClose);
    this.signal.addEventListener('abort', this.onAbort);
  }

  private readonly onData = (chunk: Buffer): void => {
    this.idleTimer.refresh();
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes > this.limits.maxBodyBytes) {
      this.finish(err(tooLarge(this.limits)));
      return;
    }
    if (this.bufferedBytes <= this.bufferLimitBytes) return;
    this.finish(ok({ form: 'stream', open: () => new BodyGuard(this.request, this.limits) }));
    this.request.unshift(Buffer.concat(this.chunks));
  };

  private readonly onEnd = (): void => {
    this.finish(ok({ form: 'whole', bytes: Buffer.concat(this.chunks) }));
  };

  private readonly onClose = (): void => {
    this.finish(err(failure('BL3017', 'the caller hung up inside the body')));
  };

  private readonly onAbort = (): void => {
    this.finish(err(failure('BL3009', 'the body took longer than the call may')));
  };

  private finish(received: ReceivedBody): void {
    clearTimeout(this.idleTimer);
    this.request.off('data', this.onData);
    this.request.off('end', this.onEnd);
    this.request.off('close', this.onClose);
    this.signal.removeEventListener('abort', this.onAbort);
    this.request.pause();
    this.done(received);
  }
}

/**
 * Finds how much memory the kept part of a body may take.
 *
 * @param request - request whose head has arrived
 * @param limits - bounds of the body
 * @param mustBufferWhole - whether the body must be kept whole up to its largest size
 */
export function bytesToBuffer(
  request: IncomingMessage,
  limits: BodyLimits,
  mustBufferWhole: boolean,
): number {
  if (!hasBody(request)) return 0;
  const bufferLimitBytes = mustBufferWhole ? limits.maxBodyBytes : limits.replayBodyBytes;
  const lengthBytes = parseContentLength(request);
  if (lengthBytes === undefined) return bufferLimitBytes;
  return lengthBytes > bufferLimitBytes ? 0 : lengthBytes;
}

/**
 * Receives the body of a call. A body up to `replayBodyBytes` is kept whole, so that it can be sent
 * again; a larger one is streamed once.
 *
 * @param request - request whose head has arrived
 * @param limits - bounds of the body
 * @param mustBufferWhole - whether the body must be kept whole up to its largest size
 * @param signal - aborted when the body is no longer waited for
 * @returns the body; BL3007 too large, BL3009 too slow, BL3017 broken off
 */
export function receiveBody(
  request: IncomingMessage,
  limits: BodyLimits,
  mustBufferWhole: boolean,
  signal: CallSignal,
): Promise<ReceivedBody> | ReceivedBody {
  if (!hasBody(request)) return ok({ form: 'whole', bytes: null });
  const lengthBytes = parseContentLength(request);
  if (lengthBytes !== undefined && lengthBytes > limits.maxBodyBytes) return err(tooLarge(limits));
  const bufferLimitBytes = mustBufferWhole ? limits.maxBodyBytes : limits.replayBodyBytes;
  if (lengthBytes !== undefined && lengthBytes > bufferLimitBytes) {
    return ok({ form: 'stream', open: () => new BodyGuard(request, limits) });
  }
  return new Promise((resolve) => {
    new BodyReader(request, bufferLimitBytes, limits, signal, resolve).start();
  });
}
