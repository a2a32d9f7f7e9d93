import { setTimeout as delay } from 'node:timers/promises';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Result } from 'neverthrow';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { controlHostsByDistance } from './controlSources.js';
import { decodeRoutingUpdate } from './decodeRoutingUpdate.js';
import { SourceSelector, type SourceProblem } from './sourceSelector.js';
import type { RoutingUpdate, RoutingPosition } from './routingPollSchema.js';

/** Keeps the routing state of an entry host up to date. */

/**
 * Longest wait of a poll for changes; with the time limit it bounds how long a dead source goes
 * unnoticed. At rest each host sends one poll in that time, which costs both ends about 3 ms.
 */
const pollWaitMs = 1000;
/** Time limit for the network and the source, on top of the wait. */
const baseAnswerTimeoutMs = 500;
/**
 * Largest number of doublings of the time limit, one each time no source has answered. A large
 * document on a slow or congested link takes longer than the limit that detects a dead source.
 * Answers of sources that know no leader are quick and lengthen nothing.
 */
const maxTimeoutDoublings = 3;
/** Longest time without leader contact of a source before another source is polled. */
const maxLeaderSilentMs = 1000;
/**
 * Time after the start for which a host without a document ignores sources that know no leader,
 * since their state may be older than the one in force. It is long enough to poll every control
 * host; after it the host applies whatever update it gets.
 */
const confirmedOnlyPhaseMs = 600;
/** Pause after all sources have failed. */
const allFailedPauseMs = 150;
/**
 * Sources without a leader that are polled before a pause. They answer at once; while there is no
 * leader, hundreds of hosts would poll dozens of them in a loop.
 */
const leaderlessPollsBeforePause = 3;

/** Dependencies of `RoutingFollower`. */
export interface RoutingFollowerParts {
  readonly context: Pick<HostContext, 'settings' | 'clock' | 'log' | 'metrics'>;
  readonly parts: {
    readonly membership: Pick<HostParts['membership'], 'hosts'>;
    readonly peers: Pick<HostParts['peers'], 'request'>;
  };
  readonly position: () => RoutingPosition;
  readonly apply: (update: RoutingUpdate) => void;
  /** Called with the monotonic time before which everything committed has been applied. */
  readonly confirm: (atMs: number) => void;
}

/** Polls the nearest control host that answers, and returns to a nearer one after a while. */
export class RoutingFollower {
  private isStopped = false;

  private readonly sourceSelector = new SourceSelector();

  /** Polls since the last update of a source that knows a leader. */
  private consecutiveFailures = 0;

  /** Polls since the last answer, whatever it said. */
  private unansweredPolls = 0;

  private currentSource: string | undefined;

  private readonly startedAtMs: number;

  constructor(private readonly dependencies: RoutingFollowerParts) {
    this.startedAtMs = dependencies.context.clock.nowMs();
  }

  async run(): Promise<void> {
    while (!this.isStopped) await this.pollNextSource();
  }

  stop(): void {
    this.isStopped = true;
  }

  private async pollNextSource(): Promise<void> {
    const { context, parts } = this.dependencies;
    const sources = controlHostsByDistance(context.settings, parts.membership.hosts());
    const source = this.sourceSelector.choose(sources, this.dependencies.context.clock.nowMs());
    if (source === undefined) {
      await delay(allFailedPauseMs);
      return;
    }
    const sentAtMs = context.clock.nowMs();
    const answer = await this.pollSource(source, this.timeoutMs(sources.length));
    if (this.isStopped) return;
    if (answer.isErr()) {
      this.unansweredPolls += 1;
      this.skipSource(source, 'noAnswer', answer.error);
      await this.pauseAfter(sources.length);
      return;
    }
    this.unansweredPolls = 0;
    const update = answer.value;
    const silentMs = update.silentMs ?? Number.POSITIVE_INFINITY;
    const isConfirmed = silentMs <= maxLeaderSilentMs;
    if (isConfirmed || this.mayApplyUnconfirmed()) this.dependencies.apply(update);
    if (!isConfirmed) {
      const problem = failure('BL5001', 'the control host knows no leader');
      this.skipSource(source, 'noLeader', problem);
      await this.pauseAfter(Math.min(sources.length, leaderlessPollsBeforePause));
      return;
    }
    this.dependencies.confirm(sentAtMs - silentMs);
    this.consecutiveFailures = 0;
    if (this.currentSource === source) return;
    this.currentSource = source;
    this.dependencies.context.log.info('routingSourceChosen', { source });
  }

  /** Whether an update of a control host that knows no leader may be applied. */
  private mayApplyUnconfirmed(): boolean {
    if (this.dependencies.position().routingVersion >= 0) return true;
    return this.dependencies.context.clock.nowMs() - this.startedAtMs >= confirmedOnlyPhaseMs;
  }

  private skipSource(source: string, reason: SourceProblem, { code, detail }: Failure): void {
    const { log, clock } = this.dependencies.context;
    log.warn('routingSourceSkipped', { source, code, detail });
    this.currentSource = undefined;
    this.sourceSelector.failed(source, reason, clock.nowMs());
    this.consecutiveFailures += 1;
  }

  /** Pauses after every so many failures in a row. */
  private async pauseAfter(failures: number): Promise<void> {
    if (this.consecutiveFailures % Math.max(1, failures) === 0) await delay(allFailedPauseMs);
  }

  private timeoutMs(sourceCount: number): number {
    const failedRounds = Math.floor(this.unansweredPolls / Math.max(1, sourceCount));
    return baseAnswerTimeoutMs * 2 ** Math.min(maxTimeoutDoublings, failedRounds);
  }

  private async pollSource(
    source: string,
    timeoutMs: number,
  ): Promise<Result<RoutingUpdate, Failure>> {
    const position = this.dependencies.position();
    const isSourceChange = this.currentSource !== undefined && this.currentSource !== source;
    const waitMs = this.consecutiveFailures > 0 || isSourceChange ? 0 : pollWaitMs;
    const answer = await this.dependencies.parts.peers.request(
      source,
      (client, signal) => client.routing.poll.query({ ...position, waitMs }, { signal }),
      waitMs + timeoutMs,
    );
    const { context } = this.dependencies;
    return answer.andThen((value) =>
      decodeRoutingUpdate(value).map(({ update, skippedRecords }) => {
        if (skippedRecords > 0) {
          context.log.warn('backendRecordsSkipped', { source, skippedRecords });
          context.metrics.count('backend_records_skipped_total');
        }
        return update;
      }),
    );
  }
}
