import type { HostContext } from '../runtime/hostTypes.js';

/** Silence of the control group after which a host has lost contact with it. */
const holdAfterMs = 8000;

/** Dependencies of `ShiftHold`. */
export interface ShiftHoldParts {
  readonly context: Pick<HostContext, 'record'>;
  /** Revision of the last step that the host has. */
  readonly revision: () => number;
  /** Time since the control group was last known to have a leader, in milliseconds. */
  readonly controlSilentMs: () => number;
}

/**
 * Detects that this host has lost contact with the control group, so that it keeps its shift steps
 * unchanged.
 */
export class ShiftHold {
  private wasHeld = false;

  constructor(private readonly parts: ShiftHoldParts) {}

  get isHeld(): boolean {
    return this.parts.controlSilentMs() > holdAfterMs;
  }

  /** Records an event when the host starts to hold its steps; must be called periodically. */
  observe(): void {
    const isHeldNow = this.isHeld;
    if (isHeldNow && !this.wasHeld) {
      const detail = { reason: 'noContact', revision: this.parts.revision() };
      this.parts.context.record({ kind: 'shiftHeld', detail });
    }
    this.wasHeld = isHeldNow;
  }
}
