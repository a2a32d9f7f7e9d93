import { setTimeout as delay } from 'node:timers/promises';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, type Result } from 'neverthrow';

import type { Clock, Random } from '../runtime/hostTypes.js';

/** Reads of a replica that wait until a leader has confirmed them. */

const retryDelayMs = 20;
/** Range of the first read ID of a process; leaves room below the largest safe integer. */
const readIdRange = 2 ** 52;

/** Reads in progress, by read id. */
export class PendingReads {
  private readonly waiters = new Map<number, (isReady: boolean) => void>();

  private nextReadId: number;

  private isClosed = false;

  /**
   * @param random - random number in [0, 1); the confirmation of a read may reach the next process of the
   *   replica, whose reads need IDs of their own
   * @param start - starts a read on the replica
   */
  constructor(
    private readonly clock: Clock,
    random: Random,
    private readonly start: (readId: number) => void,
  ) {
    this.nextReadId = Math.floor(random() * readIdRange);
  }

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
