import type { IncomingMessage } from 'node:http';
import { Transform } from 'node:stream';

import { failure } from '@buckthornlug/protocol/results/failure.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import { BodyError } from './bodyError.js';

/** Bounds of a body. */
export type BodyLimits = Pick<
  Settings['limits'],
  'maxBodyBytes' | 'idleBodyTimeoutMs' | 'replayBodyBytes'
>;

/** Passes a body on and breaks it where it grows too large or pauses too long. */
export class BodyGuard extends Transform {
  private receivedBytes = 0;

  private readonly idleTimer: NodeJS.Timeout;

  constructor(
    request: IncomingMessage,
    private readonly limits: BodyLimits,
  ) {
    super();
    this.idleTimer = setTimeout(() => this.onIdle(), limits.idleBodyTimeoutMs);
    const onAborted = () => this.fail('the caller broke the body off');
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
    done(new BodyError(failure('BL3019', `a body may have ${maxBodyBytes} bytes`)));
  }

  private onIdle(): void {
    if (this.writableNeedDrain) {
      this.idleTimer.refresh();
      return;
    }
    this.fail('the body paused for too long');
  }

  private fail(detail: string): void {
    this.destroy(new BodyError(failure('BL3019', detail)));
  }
}
