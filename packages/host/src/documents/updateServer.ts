import type { ControlCopy } from '@buckthornlug/core/spreading/controlCopy.js';
import type {
  ControlUpdate,
  ControlVersions,
} from '@buckthornlug/core/spreading/spreadingTypes.js';

/** Answers polls from a copy, immediately or as soon as it changes. */
export class UpdateServer {
  private readonly waitingPolls = new Set<() => void>();

  private stopped = false;

  constructor(private readonly copy: ControlCopy) {}

  /** Resumes the polls that wait for a change. */
  resumePolls(): void {
    for (const resume of [...this.waitingPolls]) resume();
  }

  /** Answers the waiting polls, and later polls without waiting. */
  stop(): void {
    this.stopped = true;
    this.resumePolls();
  }

  /**
   * Answers a poll.
   *
   * @param have - versions that the polling host holds
   * @param waitMs - longest wait for a change
   * @returns what the polling host lacks; null if it lacks nothing
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
