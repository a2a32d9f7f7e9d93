import type {
  ControlUpdate,
  ControlVersions,
} from '@buckthornlug/core/spreading/spreadingTypes.js';
import { AnswerPatience } from '@buckthornlug/core/spreading/answerPatience.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Result } from 'neverthrow';

import type { SetTimer } from '../runtime/timers.js';

/** Longest time for which a source holds back the reply to a poll until there is a change. */
const pollWaitMs = 2000;
/** Time on top of the wait after which a poll is aborted; until then its answer is of use. */
const answerTimeoutMs = 4000;
/** Sources that a host without a document polls at the same time. */
const initialSourceCount = 5;

/** Sources, state and procedures that the poller uses. */
export interface UpdatePollerParts {
  /** Hosts to poll, the best first. */
  readonly sources: () => readonly string[];
  readonly have: () => ControlVersions;
  /**
   * Polls a host, which waits up to `waitMs` for a change if nothing is lacking. The time limit on top of
   * the wait is that of requests between hosts if absent.
   */
  readonly pollHost: (
    hostId: string,
    have: ControlVersions,
    waitMs: number,
    timeLimitMs?: number,
  ) => Promise<Result<ControlUpdate | null, Failure>>;
  readonly apply: (update: ControlUpdate, source: string) => void;
  /** Resolves when the applied updates are in force, so that the next poll confirms them. */
  readonly whenInstalled: () => Promise<void>;
  /** Pause after a source failed to answer, in milliseconds. */
  readonly retryDelayMs: () => number;
  /** Patience with answers that come at once. */
  readonly minPatienceMs: number;
  readonly nowMs: () => number;
  readonly setTimer: SetTimer;
}

/** A late answer stays awaited, while the next source is polled. */
type Answer = Result<ControlUpdate | null, Failure> | 'late';

/** Long-polls a source for what this host lacks; switches to the next source after a failure. */
export class UpdatePoller {
  private stopped = false;

  private attempt = 0;

  private lastSource: string | undefined;

  private endPause: (() => void) | undefined;

  private readonly fetching = new Set<string>();

  private readonly patience: AnswerPatience;

  constructor(private readonly parts: UpdatePollerParts) {
    this.patience = new AnswerPatience(parts.minPatienceMs);
  }

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

  /** The host that was polled last. */
  get source(): string | undefined {
    return this.lastSource;
  }

  /** Returns to the best source, after the participating hosts have changed. */
  restartAtBestSource(): void {
    this.attempt = 0;
  }

  /** Fetches immediately from a host that is known to hold newer versions. */
  async fetchFrom(hostId: string): Promise<void> {
    if (this.fetching.has(hostId) || this.stopped) return;
    this.fetching.add(hostId);
    const answer = await this.parts.pollHost(hostId, this.parts.have(), 0);
    this.fetching.delete(hostId);
    if (answer.isOk() && answer.value !== null) this.parts.apply(answer.value, hostId);
  }

  /**
   * Polls several hosts and applies the highest version, so that one stale source cannot decide
   * alone.
   */
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
    const answer = await this.awaitAnswer(source);
    if (this.stopped) return;
    if (answer === 'late' || answer.isErr()) {
      this.attempt += 1;
      await this.pause();
      return;
    }
    if (answer.value !== null) this.parts.apply(answer.value, source);
  }

  private awaitAnswer(source: string): Promise<Answer> {
    const { parts, patience } = this;
    const sentAtMs = parts.nowMs();
    return new Promise((resolve, reject) => {
      let isLate = false;
      const endPatience = parts.setTimer(() => {
        isLate = true;
        resolve('late');
      }, pollWaitMs + patience.patienceMs());
      parts.pollHost(source, parts.have(), pollWaitMs, answerTimeoutMs).then((answer) => {
        endPatience();
        resolve(answer);
        if (answer.isErr()) return;
        patience.record(Math.max(0, parts.nowMs() - sentAtMs - pollWaitMs));
        if (isLate && !this.stopped && answer.value !== null) parts.apply(answer.value, source);
      }, reject);
    });
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
