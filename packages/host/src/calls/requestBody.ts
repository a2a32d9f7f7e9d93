import type { IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { CallSignal } from '@buckthornlug/protocol/steering/callSignal.js';
import { err, ok, type Result } from 'neverthrow';

import { BodyGuard, type BodyLimits } from './bodyGuard.js';

/** The body of a call: buffered completely, or streamed once from the caller. */
export type RequestBody =
  | { readonly form: 'whole'; readonly bytes: Buffer | null }
  | { readonly form: 'stream'; readonly open: () => Readable };

function parseContentLength(request: IncomingMessage): number | undefined {
  const field = request.headers['content-length'];
  return field === undefined ? undefined : Number(field);
}

/** Whether a request has a body, according to its header fields. */
export function hasBody(request: IncomingMessage): boolean {
  if (request.headers['transfer-encoding'] !== undefined) return true;
  return (parseContentLength(request) ?? 0) > 0;
}

function tooLarge(limits: BodyLimits): Failure {
  return failure('BL3007', `the body exceeds ${limits.maxBodyBytes} bytes`);
}

/** A received body, or the reason why it could not be received. */
type ReceivedBody = Result<RequestBody, Failure>;

/** Buffers a body up to a limit; a larger body is streamed, starting with the chunks read so far. */
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
      () =>
        this.finish(err(failure('BL3009', 'no data of the body arrived within the idle timeout'))),
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
    this.finish(
      err(failure('BL3017', 'the caller closed the connection before the end of the body')),
    );
  };

  private readonly onAbort = (): void => {
    this.finish(err(failure('BL3009', 'the body did not arrive before the deadline of the call')));
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
 * Computes how much memory to reserve for buffering a body.
 *
 * @param request - request whose head has arrived
 * @param mustBufferWhole - whether to buffer every body up to `maxBodyBytes`
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
 * Receives the body of a call. A body up to `replayBodyBytes` is buffered, so that it can be sent
 * again; a larger one is streamed once.
 *
 * @param request - request whose head has arrived
 * @param mustBufferWhole - whether to buffer every body up to `maxBodyBytes`
 * @param signal - ends the wait for the body when aborted
 * @returns the body; BL3007 too large, BL3009 too slow, BL3017 connection closed within the body
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
