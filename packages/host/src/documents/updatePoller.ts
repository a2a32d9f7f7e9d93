import type {
  ControlUpdate,
  ControlVersions,
} from '@buckthornlug/core/spreading/spreadingTypes.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Result } from 'neverthrow';

/** Longest wait of a poll for news. */
const pollWaitMs = 2000;
/** Sources asked at once by a host without a document. */
const initialSourceCount = 5;

/** What the poller is given. */
export interface UpdatePollerParts {
  /** Hosts to ask, the best first. */
  readonly sources: () => readonly string[];
  readonly have: () => ControlVersions;
  /** Asks a host; waits there for news up to the time given. */
  readonly pollHost: (
    hostId: string,
    have: ControlVersions,
    waitMs: number,
  ) => Promise<Result<ControlUpdate | null, Failure>>;
  readonly apply: (update: ControlUpdate, source: string) => void;
  /** Resolves when what was applied is in force, so that the next poll confirms it. */
  readonly whenInstalled: () => Promise<void>;
  /** Pause after a source did not answer. */
  readonly retryDelayMs: () => number;
}

/** Keeps asking one source after another for what this host lacks. */
export class UpdatePoller {
  private stopped = false;

  private attempt = 0;

  private lastSource: string | undefined;

  private endPause: (() => void) | undefined;

  private readonly fetching = new Set<string>();

  constructor(private readonly parts: UpdatePollerParts) {}

  async run(): Promise<void> {
    while (!this.stopped) {
      if (this.parts.have().version === 0) await this.pollSeveral();
      await this.parts.whenInstalled();
      await this.pollNext();
    }
  }

  stop(): void {
    this.stopped = true;
    this.endPause?.();
  }

  /** The host that was asked last. */
  get source(): string | undefined {
    return this.lastSource;
  }

  /** Goes back to the best source, after the hosts that take part have changed. */
  restartAtBestSource(): void {
    this.attempt = 0;
  }

  /** Fetches at once from a host that is known to hold more. */
  async fetchFrom(hostId: string): Promise<void> {
    if (this.fetching.has(hostId) || this.stopped) return;
    this.fetching.add(hostId);
    const answer = await this.parts.pollHost(hostId, this.parts.have(), 0);
    this.fetching.delete(hostId);
    if (answer.isOk() && answer.value !== null) this.parts.apply(answer.value, hostId);
  }

  /** Asks several hosts and takes the highest version, so that a stale source alone cannot decide. */
  async pollSeveral(): Promise<void> {
    const have = this.parts.have();
    const polled = this.parts.sources().slice(0, initialSourceCount);
    const answers = await Promise.all(
      polled.map(async (hostId) => ({
        hostId,
        answer: await this.parts.pollHost(hostId, have, 0),
      })),
    );
    let best: { update: ControlUpdate; hostId: string } | undefined;
    for (const { hostId, answer } of answers) {
      const update = answer.unwrapOr(null);
      if (update === null) continue;
      if (best === undefined || update.version > best.update.version) best = { update, hostId };
    }
    if (best !== undefined && !this.stopped) this.parts.apply(best.update, best.hostId);
  }

  private async pollNext(): Promise<void> {
    const sources = this.parts.sources();
    const source = sources[this.attempt % Math.max(1, sources.length)];
    this.lastSource = source;
    if (source === undefined) {
      await this.pause();
      return;
    }
    const answer = await this.parts.pollHost(source, this.parts.have(), pollWaitMs);
    if (this.stopped) return;
    if (answer.isErr()) {
      this.attempt += 1;
      await this.pause();
      return;
    }
    if (answer.value !== null) this.parts.apply(answer.value, source);
  }

  private pause(): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, this.parts.retryDelayMs());
      this.endPause = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }
}
