import type { Log } from '../log/log.js';

/** Age of the committed state of a control host above which entry hosts poll another one. */
export const maxStateAgeMs = 1000;

/** Logs when the state of a control host gets too old for entry hosts, and when it is confirmed again. */
export class StateAgeWatch {
  private isOld = false;

  /** @param stateAgeMs - time since the moment before which all that was committed is held */
  constructor(
    private readonly log: Pick<Log, 'info' | 'warn'>,
    private readonly stateAgeMs: () => number,
  ) {}

  /** @param routingVersion - version of the routing document that the control host holds */
  observe(routingVersion: number): void {
    const ageMs = Math.round(this.stateAgeMs());
    const isOld = ageMs > maxStateAgeMs;
    if (isOld === this.isOld) return;
    this.isOld = isOld;
    if (isOld) this.log.warn('stateUnconfirmed', { ageMs, routingVersion });
    else this.log.info('stateConfirmed', { ageMs, routingVersion });
  }
}
