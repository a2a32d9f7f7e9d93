import { setTimeout as delay } from 'node:timers/promises';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, type Result } from 'neverthrow';

import type { Clock } from '../runtime/hostTypes.js';

/** Reads of a replica that wait until a leader has confirmed them. */

const retryDelayMs = 20;

/** Reads in progress, by read id. */
export class PendingReads {
  private readonly waiters = new Map<number, (isReady: boolean) => void>();

  private nextReadId = 1;

  private isClosed = false;

  /**
   * @param start - starts a read on the replica
   */
  constructor(
    private readonly clock: Clock,
    private readonly start: (readId: number) => void,
  ) {}

  /** Ends a read as confirmed, or as to be retried. */
  end(readId: number, isReady: boolean): void {
    this.waiters.get(readId)?.(isReady);
    this.waiters.delete(readId);
  }

  /** Waits until everything committed before the call is applied; BL5001 on timeout. */
  async awaitBarrier(timeoutMs: number): Promise<Result<void, Failure>> {
    const deadlineMs = this.clock.nowMs() + timeoutMs;
    while (this.clock.nowMs() < deadlineMs && !this.isClosed) {
      const isReady = await this.readOnce(deadlineMs - this.clock.nowMs());
      if (isReady) return ok(undefined);
      await delay(retryDelayMs);
    }
    return err(failure('BL5001', 'no leader confirmed the read in time'));
  }

  /** Ends all reads as not confirmed and stops the retries. */
  close(): void {
    this.isClosed = true;
    for (const end of this.waiters.values()) end(false);
    this.waiters.clear();
  }

  private readOnce(timeoutMs: number): Promise<boolean> {
    const readId = this.nextReadId;
    this.nextReadId += 1;
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.waiters.delete(readId);
        resolve(false);
      }, timeoutMs);
      this.waiters.set(readId, (isReady) => {
        clearTimeout(timer);
        resolve(isReady);
      });
      this.start(readId);
    });
  }
}
