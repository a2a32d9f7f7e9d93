import type { CommittedStep } from '@buckthornlug/protocol/shifts/shiftSchema.js';

/**
 * What a leader knows of the steps that hosts hold. Kept only while the host leads: the interval of
 * a new leader starts anew, so a step never counts as acknowledged sooner than it was.
 */
export class ShiftAcknowledgements {
  private readonly revisionByHost = new Map<string, number>();

  /** Time by revision at which every living host held it. */
  private readonly acknowledgedAtMsByRevision = new Map<number, number>();

  /** Notes the revision that a host holds; lower than before where its process is a new one. */
  recordRevision(hostId: string, revision: number): void {
    this.revisionByHost.set(hostId, revision);
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
    const knownAtMs = this.acknowledgedAtMsByRevision.get(step.revision);
    if (knownAtMs !== undefined) return knownAtMs;
    for (const hostId of hostIds) {
      if ((this.revisionByHost.get(hostId) ?? 0) < step.revision) return undefined;
    }
    this.acknowledgedAtMsByRevision.set(step.revision, nowMs);
    return nowMs;
  }

  /** Forgets the times of steps that later ones have replaced. */
  prune(steps: readonly CommittedStep[]): void {
    const current = new Set(steps.map((step) => step.revision));
    for (const revision of this.acknowledgedAtMsByRevision.keys()) {
      if (!current.has(revision)) this.acknowledgedAtMsByRevision.delete(revision);
    }
  }

  /** Forgets everything, when leadership is gained or lost. */
  reset(): void {
    this.revisionByHost.clear();
    this.acknowledgedAtMsByRevision.clear();
  }
}
