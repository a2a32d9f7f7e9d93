import { setTimeout as delay } from 'node:timers/promises';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, type Result } from 'neverthrow';

import { isParticipating } from '@buckthornlug/core/membership/memberStamp.js';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext, HostRecord } from '../runtime/hostTypes.js';
import { SourceChoice } from './sourceSelector.js';
import { routingNewsSchema, type RoutingNews, type RoutingPosition } from './routingPollSchema.js';

/** Keeps the routing state of an entry host up to date. */

/** Wait of a poll for news; with the time limit it bounds how long a dead source goes unnoticed. */
const pollWaitMs = 500;
/** Time limit of the network and the source on top of the wait. */
const answerTimeoutMs = 500;
/**
 * Times that this limit is doubled, once each time every source has failed: a large document on a
 * slow or crowded link takes longer than the silence that shows a dead source.
 */
const maxDoublings = 3;
/** Silence of the control group from which another source is asked. */
const maxSourceSilentMs = 1000;
/**
 * Time for which a host without a document passes over sources that know no leader, since what they
 * hold may be older than what is in force; enough to ask every control host. After it the host serves
 * with what it can get.
 */
const confirmedOnlyMs = 600;
/** Pause after every source has failed. */
const pauseMs = 150;

/** What the follower is given. */
export interface RoutingFollowerParts {
  readonly context: Pick<HostContext, 'settings' | 'clock' | 'log'>;
  readonly parts: {
    readonly membership: Pick<HostParts['membership'], 'hosts'>;
    readonly peers: Pick<HostParts['peers'], 'request'>;
  };
  readonly position: () => RoutingPosition;
  readonly apply: (news: RoutingNews) => void;
}

/** Polls the nearest control host that answers, and comes back to a nearer one after a while. */
export class RoutingFollower {
  private isStopped = false;

  private readonly choice = new SourceChoice();

  private failedInARow = 0;

  private lastSource: string | undefined;

  private readonly startedAtMs: number;

  /**
   * @param follower - where to ask, and who takes the news
   */
  constructor(private readonly follower: RoutingFollowerParts) {
    this.startedAtMs = follower.context.clock.nowMs();
  }

  async run(): Promise<void> {
    while (!this.isStopped) await this.askNext();
  }

  stop(): void {
    this.isStopped = true;
  }

  private async askNext(): Promise<void> {
    const sources = this.sources();
    const source = this.choice.choose(sources, this.follower.context.clock.nowMs());
    if (source === undefined) {
      await delay(pauseMs);
      return;
    }
    const answer = await this.ask(source, this.timeoutMs(sources.length));
    if (this.isStopped) return;
    if (answer.isErr()) {
      await this.skip(source, sources.length, answer.error);
      return;
    }
    const news = answer.value;
    const silentMs = news.silentMs ?? Number.POSITIVE_INFINITY;
    const isConfirmed = silentMs <= maxSourceSilentMs;
    if (isConfirmed || this.mayTakeUnconfirmed()) this.follower.apply(news);
    if (!isConfirmed) {
      const problem = failure('BL5001', 'the control host knows no leader');
      await this.skip(source, sources.length, problem);
      return;
    }
    this.failedInARow = 0;
    if (this.lastSource === source) return;
    this.lastSource = source;
    this.follower.context.log.info('routingSourceChosen', { source });
  }

  /** Whether news of a control host that knows no leader may be put in force. */
  private mayTakeUnconfirmed(): boolean {
    if (this.follower.position().routingVersion >= 0) return true;
    return this.follower.context.clock.nowMs() - this.startedAtMs >= confirmedOnlyMs;
  }

  private async skip(source: string, sourceCount: number, problem: Failure): Promise<void> {
    const { log } = this.follower.context;
    log.warn('routingSourceSkipped', { source, code: problem.code, detail: problem.detail });
    this.lastSource = undefined;
    this.choice.failed(source, this.follower.context.clock.nowMs());
    this.failedInARow += 1;
    if (this.failedInARow % Math.max(1, sourceCount) === 0) await delay(pauseMs);
  }

  private timeoutMs(sourceCount: number): number {
    const failedRounds = Math.floor(this.failedInARow / Math.max(1, sourceCount));
    return answerTimeoutMs * 2 ** Math.min(maxDoublings, failedRounds);
  }

  private async ask(source: string, timeoutMs: number): Promise<Result<RoutingNews, Failure>> {
    const have = this.follower.position();
    const isOther = this.lastSource !== undefined && this.lastSource !== source;
    const waitMs = this.failedInARow > 0 || isOther ? 0 : pollWaitMs;
    const answer = await this.follower.parts.peers.request(
      source,
      (client, signal) => client.routing.poll.query({ ...have, waitMs }, { signal }),
      waitMs + timeoutMs,
    );
    return answer.andThen((value) => {
      const news = routingNewsSchema.safeParse(value);
      return news.success ? ok(news.data) : err(failure('BL6003', 'the news has a wrong form'));
    });
  }

  /** Control hosts, the nearest first; the peers of the settings where none is known. */
  private sources(): readonly string[] {
    const { context, parts } = this.follower;
    const { settings } = context;
    const distance = (host: HostRecord) => {
      if (host.availabilityZone === settings.availabilityZone) return 0;
      return host.region === settings.region ? 1 : 2;
    };
    const controlHosts = parts.membership
      .hosts()
      .filter((host) => host.roles.includes('control') && isParticipating(host.state));
    if (controlHosts.length === 0) return settings.peers.map(({ hostId }) => hostId);
    return controlHosts
      .map((host) => ({ hostId: host.hostId, key: `${distance(host)} ${host.hostId}` }))
      .sort((left, right) => (left.key < right.key ? -1 : 1))
      .map(({ hostId }) => hostId);
  }
}
