import type { HostContext } from '../runtime/hostTypes.js';

/** Silence of the control group after which a host counts as out of contact. */
const holdAfterMs = 8000;

/** What the report of held steps reads. */
export interface ShiftHoldParts {
  readonly context: Pick<HostContext, 'record'>;
  /** Revision of the last step that the host holds. */
  readonly revision: () => number;
  /** Time since the control group was last known to have a leader, in milliseconds. */
  readonly controlSilentMs: () => number;
}

/** Tells whether a host is out of contact, so that it holds its steps as they are. */
export class ShiftHold {
  private wasHeld = false;

  constructor(private readonly parts: ShiftHoldParts) {}

  get isHeld(): boolean {
    return this.parts.controlSilentMs() > holdAfterMs;
  }

  /** Records once when the host starts to hold its steps; to be called regularly. */
  observe(): void {
    const isHeldNow = this.isHeld;
    if (isHeldNow && !this.wasHeld) {
      const detail = { reason: 'noContact', revision: this.parts.revision() };
      this.parts.context.record({ kind: 'shiftHeld', detail });
    }
    this.wasHeld = isHeldNow;
  }
}
