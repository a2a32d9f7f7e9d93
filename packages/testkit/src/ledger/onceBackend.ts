import type { LedgerOutcome } from '@buckthornlug/protocol/steering/ledgerTypes.js';

import type { Draws } from '../random/draws.js';
import type { ProcessTime } from '../time/processTime.js';
import type { VirtualTime } from '../time/virtualTime.js';

/** Probabilities of what a backend server does other than answer in time. */
export interface OnceBackendFaults {
  /** It refuses the work before it runs. */
  readonly refuses: number;
  /** It runs the work and its answer is lost. */
  readonly answerLost: number;
  /** It runs the work and answers only after the deadline. */
  readonly late: number;
}

const transitMs = 1;
const lowestServiceMs = 5;
const highestServiceMs = 150;
const brokenAfterMs = 300;
const lateAfterMs = 6000;

/** A backend server that counts how often the work of each identity runs. */
export class OnceBackend {
  readonly executions = new Map<string, number>();

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Draws,
    private readonly faults: OnceBackendFaults,
    private readonly timeLimitMs: number,
  ) {}

  countOf(identity: string): number {
    return this.executions.get(identity) ?? 0;
  }

  /** Takes work from a host; it runs also when the host has died since. */
  run(identity: string, intentId: string, processTime: ProcessTime): Promise<LedgerOutcome> {
    return new Promise((resolve) => {
      const reply = (afterMs: number, outcome: LedgerOutcome) =>
        processTime.schedule(afterMs, () => resolve(outcome));
      if (this.random.chance(this.faults.refuses)) {
        reply(transitMs, { outcome: 'notRun' });
        return;
      }
      this.time.schedule(transitMs, () => {
        this.executions.set(identity, this.countOf(identity) + 1);
      });
      if (this.random.chance(this.faults.answerLost)) {
        reply(brokenAfterMs, { outcome: 'unknown' });
        return;
      }
      const isLate = this.random.chance(this.faults.late);
      const afterMs = isLate ? lateAfterMs : this.random.between(lowestServiceMs, highestServiceMs);
      if (afterMs > this.timeLimitMs) {
        reply(this.timeLimitMs, { outcome: 'unknown' });
        return;
      }
      const bodyBase64 = Buffer.from(intentId).toString('base64');
      reply(afterMs, { outcome: 'answered', answer: { status: 201, headers: [], bodyBase64 } });
    });
  }
}
