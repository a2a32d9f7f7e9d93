import { ShiftAcknowledgements } from '@buckthornlug/core/shifts/shiftAcknowledgements.js';
import { ShiftPlanner, type HeldShift } from '@buckthornlug/core/shifts/shiftPlanner.js';
import { computeShiftTargets } from '@buckthornlug/core/shifts/shiftTargets.js';
import type { CommittedStep, ShiftUnit } from '@buckthornlug/protocol/shifts/shiftSchema.js';

import type { DocumentInForce, HostContext, MembershipView } from '../runtime/hostTypes.js';
import { findFailedRegions, isLive } from './failedRegions.js';
import type { ShiftControl } from './shiftTaskTypes.js';

/** Dependencies of `ShiftLeader`. */
export interface ShiftLeaderParts {
  readonly context: Pick<HostContext, 'settings' | 'clock' | 'record' | 'log'>;
  readonly control: ShiftControl;
  readonly membership: () => Pick<MembershipView, 'hosts'>;
}

function unitDetail(unit: ShiftUnit): Record<string, string> {
  return { scope: unit.scope, place: unit.place };
}

/** Plans and commits shift steps while this control host is the leader. */
export class ShiftLeader {
  private readonly acknowledgements = new ShiftAcknowledgements();

  private readonly planner = new ShiftPlanner();

  private wasLeader = false;

  private isCommitting = false;

  private heldUnits: ReadonlySet<string> = new Set();

  constructor(private readonly parts: ShiftLeaderParts) {}

  /** Commits the steps that may be taken now; must be called periodically. */
  async tick(): Promise<void> {
    const isLeader = this.parts.control.isLeader();
    if (isLeader !== this.wasLeader) this.acknowledgements.reset();
    this.wasLeader = isLeader;
    const inForce = this.parts.control.document();
    if (!isLeader || inForce === undefined || this.isCommitting) return;
    this.isCommitting = true;
    try {
      await this.commitSteps(inForce);
    } finally {
      this.isCommitting = false;
    }
  }

  private async commitSteps(inForce: DocumentInForce): Promise<void> {
    const { context, control, membership } = this.parts;
    const { table } = control;
    const nowMs = context.clock.nowMs();
    const hosts = membership().hosts();
    const liveHosts = hosts.filter(isLive);
    const hostIds = liveHosts.map((host) => host.hostId);
    for (const { hostId, shiftRevision = 0 } of liveHosts) {
      this.acknowledgements.recordRevision(hostId, shiftRevision);
    }
    this.acknowledgements.prune(table.allSteps());
    const plan = this.planner.plan({
      document: inForce.document,
      documentVersion: inForce.version,
      table,
      failedRegions: findFailedRegions(inForce.document, hosts),
      acknowledgedAtMs: (step) => this.acknowledgements.acknowledgedAtMs(step, hostIds, nowMs),
      nowMs,
    });
    this.recordHeldUnits(plan.held);
    for (const step of plan.steps) {
      const committed = await control.submitStep(step, context.settings.timing.rpcTimeoutMs);
      if (committed.isErr()) {
        const { code, detail } = committed.error;
        context.log.info('shiftStepRefused', { code, detail, place: step.place });
        return;
      }
      this.recordStep(committed.value, inForce);
    }
  }

  private recordStep(step: CommittedStep, inForce: DocumentInForce): void {
    const { context } = this.parts;
    const { service, documentVersion: version, movedPermille, number } = step;
    const detail = { ...unitDetail(step), movedPermille, number };
    context.record({ kind: 'shiftStep', service, version, detail });
    context.log.info('shiftStep', { service, version, ...detail });
    const failed = findFailedRegions(inForce.document, this.parts.membership().hosts());
    const target = computeShiftTargets(inForce.document, failed).find(
      (each) => each.service === service && each.scope === step.scope && each.place === step.place,
    );
    if (target?.movedPermille === movedPermille) {
      context.record({ kind: 'shiftDone', service, version, detail });
    }
  }

  /** Records an event when a unit starts to wait for hosts that lack its last step. */
  private recordHeldUnits(held: readonly HeldShift[]): void {
    const waiting = held.filter((each) => each.reason === 'notAcknowledged');
    const units = new Set<string>();
    for (const { target } of waiting) {
      const unit = `${target.service}/${target.scope}/${target.place}`;
      units.add(unit);
      if (this.heldUnits.has(unit)) continue;
      const { service } = target;
      const detail = { ...unitDetail(target), reason: 'notAcknowledged' };
      this.parts.context.record({ kind: 'shiftHeld', service, detail });
    }
    this.heldUnits = units;
  }
}
