import { hashText } from '../hash/textHash.js';
import { spillShare } from './shiftCap.js';

/**
 * Limits the calls of a host that run in another region than planned. The identity of a call decides whether
 * it earns an exception, which expires soon: the exceptions of all hosts add up to the same part of all
 * calls that run, whichever host callers use, and none are saved up in calm times for all hosts to use at once.
 */

/** Time for which an exception may be used. */
const usableForMs = 1000;
const hashRange = 2 ** 32;

/** Calls of one host, of all services together, that may run elsewhere than planned. */
export class SpillAllowance {
  private usableUntilMs = Number.NEGATIVE_INFINITY;

  /**
   * @param maxShift - shift cap: largest share of a region's calls that changes region per window, 0 to 1
   */
  constructor(private readonly maxShift: number) {}

  /**
   * Records a call that is sent to its planned region, which may earn an exception. Calls that are turned away
   * earn none: the cap counts those that run.
   */
  recordCall(requestId: string, nowMs: number): void {
    const isDrawn = hashText(`spill ${requestId}`) < spillShare(this.maxShift) * hashRange;
    if (isDrawn) this.usableUntilMs = nowMs + usableForMs;
  }

  maySpill(nowMs: number): boolean {
    return nowMs < this.usableUntilMs;
  }

  /** Records that a call runs elsewhere than planned. */
  recordSpill(): void {
    this.usableUntilMs = Number.NEGATIVE_INFINITY;
  }
}
