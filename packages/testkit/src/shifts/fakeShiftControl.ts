import { ShiftTable } from '@buckthornlug/core/shifts/shiftTable.js';
import type { DocumentInForce } from '@buckthornlug/host/runtime/hostTypes.js';
import type { ShiftControl } from '@buckthornlug/host/shifts/shiftTaskTypes.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { CommittedStep, ShiftStep } from '@buckthornlug/protocol/shifts/shiftSchema.js';
import { err, ResultAsync, type Result } from 'neverthrow';

import type { Draws } from '../random/draws.js';
import type { ProcessTime } from '../time/processTime.js';
import type { VirtualTime } from '../time/virtualTime.js';

const commitMs = 5;
const replyLost = 0.1;

/** Two committed steps of one unit that break its cap. */
export interface StepFault {
  readonly place: string;
  readonly problem: string;
}

/** A control group over fake transport: one committed table, and one leader or none. */
export class FakeShiftControl {
  readonly table = new ShiftTable();

  readonly stepFaults: StepFault[] = [];

  /** Host that leads; undefined between two leaders. */
  leaderId: string | undefined;

  committed = 0;

  refused = 0;

  private readonly lastAtMs = new Map<string, number>();

  constructor(
    private readonly time: VirtualTime,
    private readonly random: Draws,
    private readonly document: () => DocumentInForce,
  ) {}

  /** The group as one of its members sees it; a paused member goes on believing that it leads. */
  memberFor(hostId: string, processTime: ProcessTime): ShiftControl {
    let believedLeader: string | undefined;
    const view = () => {
      if (processTime.isRunning && this.random.chance(0.9)) believedLeader = this.leaderId;
      return believedLeader;
    };
    return {
      table: this.table,
      document: this.document,
      isLeader: () => view() === hostId,
      submitStep: (step, timeoutMs) =>
        new ResultAsync(
          new Promise<Result<CommittedStep, Failure>>((resolve) => {
            processTime.schedule(timeoutMs, () =>
              resolve(err(failure('BL5002', 'no reply in time'))),
            );
            this.time.schedule(this.random.between(1, commitMs), () => {
              const result = this.commit(step);
              if (this.random.chance(replyLost)) return;
              processTime.schedule(1, () => resolve(result));
            });
          }),
        ),
    };
  }

  private commit(step: ShiftStep): Result<CommittedStep, Failure> {
    const { version, document } = this.document();
    const cap = document.traffic[step.service]?.shiftCap;
    if (cap === undefined || this.leaderId === undefined) {
      return err(failure('BL5001', 'no leader is known'));
    }
    const before = this.table.movedPermille(step);
    const { stepPermille, stepIntervalMs } = cap;
    const result = this.table.commit(step, { documentVersion: version, stepPermille });
    if (result.isErr()) {
      this.refused += 1;
      return result;
    }
    this.committed += 1;
    this.check(step, Math.abs(step.movedPermille - before), stepPermille, stepIntervalMs);
    return result;
  }

  private check(
    step: ShiftStep,
    movedPermille: number,
    stepPermille: number,
    stepIntervalMs: number,
  ): void {
    const { place } = step;
    const unit = `${step.service}/${step.scope}/${place}`;
    const sinceMs = this.time.nowMs - (this.lastAtMs.get(unit) ?? -stepIntervalMs);
    this.lastAtMs.set(unit, this.time.nowMs);
    if (movedPermille > stepPermille) {
      this.stepFaults.push({ place, problem: `moved ${movedPermille} permille at once` });
    }
    if (sinceMs < stepIntervalMs) {
      this.stepFaults.push({ place, problem: `moved again after ${sinceMs} ms` });
    }
  }
}
