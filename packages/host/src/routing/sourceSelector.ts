/**
 * Time for which a failed source is skipped. It is long compared with the 0.5 s that another
 * failed poll costs, and short compared with the minutes for which a distant source would
 * otherwise be polled over an expensive link.
 */
const failedSourceSkipMs = 10_000;
/**
 * Time for which a source without contact with a leader is skipped. It answers at once, and mostly has a
 * leader again as soon as the other sources do, as after a loss of power.
 */
const leaderlessSourceSkipMs = 1000;

/** Why a source was of no use. */
export type SourceProblem = 'noAnswer' | 'noLeader';

/** Selects the control host to poll: the nearest one that has not failed recently. */
export class SourceSelector {
  private readonly skippedUntilMs = new Map<string, number>();

  /**
   * Selects one of the sources; if all have failed recently, the one whose failure is the oldest.
   *
   * @param sources - host ids, the nearest first
   * @param nowMs - monotonic time
   */
  choose(sources: readonly string[], nowMs: number): string | undefined {
    let earliest: string | undefined;
    let earliestMs = Number.POSITIVE_INFINITY;
    for (const source of sources) {
      const untilMs = this.skippedUntilMs.get(source) ?? Number.NEGATIVE_INFINITY;
      if (untilMs <= nowMs) return source;
      if (untilMs < earliestMs) {
        earliestMs = untilMs;
        earliest = source;
      }
    }
    return earliest;
  }

  /** Records that a source did not answer, or that it had no contact with a leader. */
  failed(source: string, problem: SourceProblem, nowMs: number): void {
    const skipMs = problem === 'noLeader' ? leaderlessSourceSkipMs : failedSourceSkipMs;
    this.skippedUntilMs.delete(source);
    this.skippedUntilMs.set(source, nowMs + skipMs);
  }

  /** Records that a source is of use, also if its answer came late. */
  succeeded(source: string): void {
    this.skippedUntilMs.delete(source);
  }
}
