import type { CommittedStep } from '@buckthornlug/protocol/shifts/shiftSchema.js';

/**
 * What a leader knows of the steps that hosts hold. Kept only while the host leads: the interval of
 * a new leader starts anew, so a step never counts as acknowledged sooner than it was.
 */
export class ShiftAcknowledgements {
  private readonly revisions = new Map<string, number>();

  /** Time by revision at which every living host held it. */
  private readonly acknowledged = new Map<number, number>();

  /** Notes the revision that a host holds; lower than before where its process is a new one. */
  note(hostId: string, revision: number): void {
    this.revisions.set(hostId, revision);
  }

  /**
   * Finds when a step was acknowledged.
   *
   * @param step - committed step
   * @param hostIds - living hosts that must hold it
   * @param nowMs - monotonic time of the leader
   */
  acknowledgedAtMs(
    step: CommittedStep,
    hostIds: readonly string[],
    nowMs: number,
  ): number | undefined {
    const known = this.acknowledged.get(step.revision);
    if (known !== undefined) return known;
    for (const hostId of hostIds) {
      if ((this.revisions.get(hostId) ?? 0) < step.revision) return undefined;
    }
    this.acknowledged.set(step.revision, nowMs);
    return nowMs;
  }

  /** Forgets the times of steps that later ones have replaced. */
  prune(steps: readonly CommittedStep[]): void {
    const current = new Set(steps.map((step) => step.revision));
    for (const revision of this.acknowledged.keys()) {
      if (!current.has(revision)) this.acknowledged.delete(revision);
    }
  }

  /** Forgets everything, when leadership is gained or lost. */
  reset(): void {
    this.revisions.clear();
    this.acknowledged.clear();
  }
}
