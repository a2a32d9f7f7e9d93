import type { CommittedStep } from '@buckthornlug/protocol/shifts/shiftSchema.js';

/**
 * Tracks which committed steps the living hosts hold. The state lasts only while the host leads: a
 * new leader times the step interval from its own acknowledgements, so a step never counts as
 * acknowledged earlier than it was.
 */
export class ShiftAcknowledgements {
  private readonly revisionByHost = new Map<string, number>();

  /** Time at which every living host was first known to hold a step, by its revision. */
  private readonly acknowledgedAtMsByRevision = new Map<number, number>();

  /** Records the revision that a host reports; it is lower than before if the process restarted. */
  recordRevision(hostId: string, revision: number): void {
    this.revisionByHost.set(hostId, revision);
  }

  /**
   * Returns the time at which a step was acknowledged, or undefined while a living host lacks it.
   *
   * @param step - committed step
   * @param hostIds - living hosts, all of which must hold the step
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

  /** Drops the times of superseded steps. */
  prune(steps: readonly CommittedStep[]): void {
    const current = new Set(steps.map((step) => step.revision));
    for (const revision of this.acknowledgedAtMsByRevision.keys()) {
      if (!current.has(revision)) this.acknowledgedAtMsByRevision.delete(revision);
    }
  }

  /** Clears all state; called when leadership is gained or lost. */
  reset(): void {
    this.revisionByHost.clear();
    this.acknowledgedAtMsByRevision.clear();
  }
}
