import type { IncomingMessage } from 'node:http';
import { Transform } from 'node:stream';

import { failure } from '@buckthornlug/protocol/results/failure.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import { BodyError } from './bodyError.js';

/** Limits of a body. */
export type BodyLimits = Pick<
  Settings['limits'],
  'maxBodyBytes' | 'idleBodyTimeoutMs' | 'replayBodyBytes'
>;

/** Requests whose bodies are streamed on, so that their calls may have been dispatched. */
const streamedRequests = new WeakSet<IncomingMessage>();

/** Whether the body of a request is streamed on. */
export function isStreamedOn(request: IncomingMessage): boolean {
  return streamedRequests.has(request);
}

/** Streams a body on and fails with a `BodyError` if it grows too large or pauses for too long. */
export class BodyGuard extends Transform {
  private receivedBytes = 0;

  private readonly idleTimer: NodeJS.Timeout;

  constructor(
    request: IncomingMessage,
    private readonly limits: BodyLimits,
  ) {
    super();
    streamedRequests.add(request);
    this.idleTimer = setTimeout(() => this.onIdle(), limits.idleBodyTimeoutMs);
    const onAborted = () => this.fail('the caller aborted the request before the end of the body');
    request.once('aborted', onAborted);
    this.once('close', () => {
      clearTimeout(this.idleTimer);
      request.off('aborted', onAborted);
      request.unpipe(this);
    });
    request.pipe(this);
  }

  override _transform(
    chunk: Buffer,
    _encoding: string,
    done: (error: Error | null, chunk?: Buffer) => void,
  ): void {
    this.receivedBytes += chunk.length;
    this.idleTimer.refresh();
    if (this.receivedBytes <= this.limits.maxBodyBytes) {
      done(null, chunk);
      return;
    }
    const { maxBodyBytes } = this.limits;
    done(new BodyError(failure('BL3019', `the body exceeds ${maxBodyBytes} bytes`)));
  }

  private onIdle(): void {
    if (this.writableNeedDrain) {
      this.idleTimer.refresh();
      return;
    }
    this.fail('no data of the body arrived within the idle timeout');
  }

  private fail(detail: string): void {
    this.destroy(new BodyError(failure('BL3019', detail)));
  }
}
