import { AnswerPatience } from '@buckthornlug/core/spreading/answerPatience.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Result } from 'neverthrow';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import type { SetTimer } from '../runtime/timers.js';
import { TrustedTimes } from '../runtime/trustedTimes.js';
import { controlHostsByDistance } from './controlSources.js';
import { maxStateAgeMs } from './stateAgeWatch.js';
import { RoutingPoller } from './routingPoller.js';
import { SourceSelector, type SourceProblem } from './sourceSelector.js';
import type { RoutingUpdate, RoutingPosition } from './routingPollSchema.js';

/** Keeps the routing state of an entry host up to date. */

/**
 * Longest wait of a poll for changes; with the patience for an answer it bounds how long a dead source
 * goes unnoticed. At rest each host sends one poll in that time, which costs both ends about 3 ms.
 */
const pollWaitMs = 1000;
/** Time on top of the wait after which a poll is aborted; until then its answer is of use. */
const answerTimeoutMs = 4000;
/** Largest number of doublings of the patience, one each time no source has answered. */
const maxPatienceDoublings = 3;
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
  /** Called with a monotonic time before which everything committed has been applied. */
  readonly confirm: (atMs: number) => void;
  readonly setTimer: SetTimer;
}

/** A poll whose answer is still awaited. */
interface OpenPoll {
  readonly source: string;
  readonly sentAtMs: number;
  readonly waitMs: number;
  /** Versions that the host held when it asked. */
  readonly position: RoutingPosition;
  /** Whether another source has been asked since. */
  isLate: boolean;
}

/** Whether a source has nothing newer; it answers at the end of the wait then, and earlier otherwise. */
function isUnchanged(held: RoutingPosition, answered: RoutingPosition): boolean {
  return (
    answered.routingVersion === held.routingVersion &&
    answered.evacuationRevision === held.evacuationRevision &&
    answered.registryRevision === held.registryRevision
  );
}

/** What has to happen before the next poll is sent. */
type PollEnd = 'answered' | 'failed' | 'late';

/**
 * Polls the nearest control host that answers, and returns to a nearer one after a while. A poll whose
 * answer is late stays open while the next source is polled, since on a congested link every answer is
 * late, and one that is dropped has cost its bytes for nothing.
 */
export class RoutingFollower {
  private isStopped = false;

  private readonly sourceSelector = new SourceSelector();

  private readonly patience = new AnswerPatience();

  private readonly poller: RoutingPoller;

  private readonly times: TrustedTimes;

  /** Polls since the last update of a source that knows a leader. */
  private consecutiveFailures = 0;

  /** Polls since the last answer, whatever it said. */
  private unansweredPolls = 0;

  private currentSource: string | undefined;

  /** When the newest of the polls was sent that have been answered. */
  private newestAnsweredAtMs = Number.NEGATIVE_INFINITY;

  /** Ends the wait for the newest poll. */
  private endWait: ((end: PollEnd) => void) | undefined;

  private readonly startedAtMs: number;

  constructor(private readonly dependencies: RoutingFollowerParts) {
    const { context, parts } = dependencies;
    this.startedAtMs = context.clock.nowMs();
    this.poller = new RoutingPoller({ context, peers: parts.peers });
    this.times = new TrustedTimes(context.clock);
  }

  async run(): Promise<void> {
    while (!this.isStopped) await this.pollNextSource();
  }

  /** Control host that answers the polls of this host; undefined while none does. */
  get source(): string | undefined {
    return this.currentSource;
  }

  stop(): void {
    this.isStopped = true;
    this.endWait?.('failed');
  }

  private async pollNextSource(): Promise<void> {
    const { context, parts } = this.dependencies;
    const sources = controlHostsByDistance(context.settings, parts.membership.hosts());
    const source = this.sourceSelector.choose(sources, context.clock.nowMs());
    if (source === undefined) {
      await this.pause();
      return;
    }
    const isSourceChange = this.currentSource !== undefined && this.currentSource !== source;
    const waitMs = this.consecutiveFailures > 0 || isSourceChange ? 0 : pollWaitMs;
    const sentAtMs = context.clock.nowMs();
    const position = this.dependencies.position();
    const poll: OpenPoll = { source, sentAtMs, waitMs, position, isLate: false };
    const patienceMs = waitMs + this.patienceMs(sources.length);
    const end = await this.awaitPoll(poll, patienceMs);
    if (this.isStopped || end === 'answered') return;
    if (end === 'late') {
      poll.isLate = true;
      this.unansweredPolls += 1;
      const problem = failure('BL6003', `no reply in ${Math.round(patienceMs)} ms, still awaited`);
      this.skipSource(source, 'noAnswer', problem);
    }
    // Without a leader all sources answer at once, so that a pause comes earlier.
    const isLeaderless = this.unansweredPolls === 0;
    const failures = isLeaderless
      ? Math.min(sources.length, leaderlessPollsBeforePause)
      : sources.length;
    // An earlier poll may have been answered meanwhile.
    if (this.consecutiveFailures === 0) return;
    if (this.consecutiveFailures % Math.max(1, failures) === 0) await this.pause();
  }

  /** Sends a poll; waits until it ends or is late. */
  private awaitPoll(poll: OpenPoll, patienceMs: number): Promise<PollEnd> {
    return new Promise((resolve) => {
      const endPatience = this.dependencies.setTimer(() => resolve('late'), patienceMs);
      const endWait = (end: PollEnd) => {
        endPatience();
        resolve(end);
      };
      this.endWait = endWait;
      this.pollSource(poll)
        .then((answer) => this.receive(poll, answer))
        .then(endWait, (error: unknown) => {
          this.dependencies.context.log.error('routingPollDefect', { detail: String(error) });
          this.consecutiveFailures += 1;
          endWait('failed');
        });
    });
  }

  /** Applies the answer of a poll, however late it comes. */
  private receive(poll: OpenPoll, answer: Result<RoutingUpdate, Failure>): PollEnd {
    if (this.isStopped) return 'failed';
    const { clock, log, metrics } = this.dependencies.context;
    const { source, sentAtMs, waitMs, position, isLate } = poll;
    if (answer.isErr()) {
      metrics.count('routing_polls_total', { end: 'failed' });
      if (isLate) return 'failed';
      this.unansweredPolls += 1;
      this.skipSource(source, 'noAnswer', answer.error);
      return 'failed';
    }
    const elapsedMs = clock.nowMs() - sentAtMs;
    metrics.count('routing_polls_total', { end: isLate ? 'late' : 'answered' });
    metrics.observeMs('routing_answer_ms', Math.max(0, elapsedMs - waitMs));
    if (isLate) log.info('routingAnswerLate', { source, waitMs, elapsedMs: Math.round(elapsedMs) });
    this.patience.record(Math.max(0, elapsedMs - waitMs));
    this.unansweredPolls = 0;
    const update = answer.value;
    const silentMs = update.silentMs ?? Number.POSITIVE_INFINITY;
    if (update.silentMs !== null) metrics.observeMs('routing_source_silent_ms', update.silentMs);
    const isConfirmed = silentMs <= maxStateAgeMs;
    if (isConfirmed || this.mayApplyUnconfirmed()) this.dependencies.apply(update);
    if (!isConfirmed) {
      const detail = Number.isFinite(silentMs)
        ? `the state of the control host was last confirmed ${Math.round(silentMs)} ms ago`
        : 'the control host knows no leader';
      this.skipSource(source, 'noLeader', failure('BL5001', detail));
      return 'failed';
    }
    // Changes are not applied to a version before their base.
    const isHeld = this.dependencies.position().routingVersion >= update.position.routingVersion;
    if (isHeld && this.times.isTrusted(sentAtMs)) {
      const heldMs = isUnchanged(position, update.position) ? waitMs : 0;
      this.dependencies.confirm(sentAtMs + heldMs - silentMs);
    }
    this.consecutiveFailures = 0;
    // A later poll was answered sooner, so that this source is slow rather than the link.
    const isOutrun = sentAtMs < this.newestAnsweredAtMs;
    this.newestAnsweredAtMs = Math.max(this.newestAnsweredAtMs, sentAtMs);
    if (!isOutrun) this.follow(source);
    return 'answered';
  }

  private follow(source: string): void {
    this.sourceSelector.succeeded(source);
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

  private pause(): Promise<void> {
    return new Promise((resolve) => {
      this.dependencies.setTimer(resolve, allFailedPauseMs);
    });
  }

  private patienceMs(sourceCount: number): number {
    const failedRounds = Math.floor(this.unansweredPolls / Math.max(1, sourceCount));
    const doubled = this.patience.patienceMs() * 2 ** Math.min(maxPatienceDoublings, failedRounds);
    return Math.min(answerTimeoutMs, doubled);
  }

  private async pollSource(poll: OpenPoll): Promise<Result<RoutingUpdate, Failure>> {
    const { source, position, waitMs } = poll;
    return this.poller.poll(source, { ...position, waitMs }, waitMs + answerTimeoutMs);
  }
}
