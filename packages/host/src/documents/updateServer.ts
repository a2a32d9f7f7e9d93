import type { ControlCopy } from '@buckthornlug/core/spreading/controlCopy.js';
import type {
  ControlUpdate,
  ControlVersions,
} from '@buckthornlug/core/spreading/spreadingTypes.js';

/** Answers polls out of a copy, at once or as soon as there is news. */
export class UpdateServer {
  private readonly waitingPolls = new Set<() => void>();

  private stopped = false;

  constructor(private readonly copy: ControlCopy) {}

  /** Wakes the polls that wait for news. */
  resumePolls(): void {
    for (const resume of [...this.waitingPolls]) resume();
  }

  /** Answers the polls that wait, and later ones without a wait. */
  stop(): void {
    this.stopped = true;
    this.resumePolls();
  }

  /**
   * Answers a poll.
   *
   * @param have - how far the asking host has come
   * @param waitMs - longest wait for news
   * @returns what the asking host lacks; null where it lacks nothing
   */
  async answer(have: ControlVersions, waitMs: number): Promise<ControlUpdate | null> {
    if (!this.copy.isNewerThan(have) && waitMs > 0 && !this.stopped)
      await this.waitForChange(waitMs);
    return this.copy.isNewerThan(have) ? this.copy.updateSince(have) : null;
  }

  private waitForChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const resume = () => {
        clearTimeout(timer);
        this.waitingPolls.delete(resume);
        resolve();
      };
      timer = setTimeout(resume, waitMs);
      this.waitingPolls.add(resume);
    });
  }
}
