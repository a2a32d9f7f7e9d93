/**
 * Time for which a source that failed is passed over. Long against the half second that one more try
 * costs, short against the minutes for which a far source would be asked over a dear link.
 */
const failedSourceSkipMs = 10_000;

/** Chooses the source of routing news: the nearest one that has not failed lately. */
export class SourceSelector {
  private readonly skippedUntilMs = new Map<string, number>();

  /**
   * Chooses among sources; where all have failed lately, the one that failed first.
   *
   * @param sources - names, the nearest first
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

  /** Takes note that a source did not answer, or not with news that count. */
  failed(source: string, nowMs: number): void {
    this.skippedUntilMs.delete(source);
    this.skippedUntilMs.set(source, nowMs + failedSourceSkipMs);
  }
}
