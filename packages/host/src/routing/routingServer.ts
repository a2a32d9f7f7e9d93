import type { ControlMachine } from '@buckthornlug/core/submissions/controlMachine.js';

import type { RoutingNews, RoutingPoll, RoutingPosition } from './routingPollSchema.js';

/** Answers the polls of entry hosts from the committed state of a control host. */

/** Time in which changes gather before waiting polls are answered. */
const gatherMs = 15;
/**
 * Time that a poll waits at least for news of backend servers alone, so that an entry host asks at most
 * five times a second while they change all the time, as at the start of a deployment: each answer costs
 * both ends about a millisecond of processor time. A backend server that leaves binds entry hosts 2.5 s
 * after its acknowledgement (the shortest such bound of the deployments), twelve times as long.
 */
const backendNewsMs = 200;

/**
 * Records of backend servers in one answer. On a link of 2 Mbit/s, the slowest of the deployments, so
 * many take about a tenth of a second; an answer that takes longer than the poll's time limit would be
 * asked for again and again, and leave no room for the calls.
 */
const maxBackendsInNews = 64;

/** What the server is given. */
export interface RoutingServerParts {
  readonly machine: Pick<ControlMachine, 'routing' | 'registry'>;
  readonly leaderSilentMs: () => number;
  readonly wallMs: () => number;
}

/** A poll that waits for news. */
interface WaitingPoll {
  readonly poll: RoutingPoll;
  /** Whether it has waited long enough for news of backend servers alone. */
  hasGathered: boolean;
  readonly answer: () => void;
}

/** Holds polls open until there is news for them. */
export class RoutingServer {
  private readonly waiting = new Set<WaitingPoll>();

  private gathering: NodeJS.Timeout | undefined;

  /**
   * @param parts - committed state and clocks
   */
  constructor(private readonly parts: RoutingServerParts) {}

  /**
   * Answers at once where there is a document or an evacuation, or a full answer of backend servers;
   * after a while where there are some backend servers; else after the wait of the poll.
   */
  poll(poll: RoutingPoll): Promise<RoutingNews> {
    if (poll.waitMs === 0 || this.hasUrgentNews(poll)) return Promise.resolve(this.newsFor(poll));
    return new Promise((resolve) => {
      const timers: NodeJS.Timeout[] = [];
      const waiting: WaitingPoll = {
        poll,
        hasGathered: false,
        answer: () => {
          for (const timer of timers) clearTimeout(timer);
          this.waiting.delete(waiting);
          resolve(this.newsFor(poll));
        },
      };
      const onGathered = () => {
        waiting.hasGathered = true;
        if (this.hasBackendNews(poll)) waiting.answer();
      };
      timers.push(setTimeout(onGathered, Math.min(backendNewsMs, poll.waitMs)));
      timers.push(setTimeout(waiting.answer, poll.waitMs));
      this.waiting.add(waiting);
    });
  }

  /** Takes note that the committed state may have changed. */
  changed(): void {
    if (this.waiting.size === 0) return;
    this.gathering ??= setTimeout(() => {
      this.gathering = undefined;
      for (const waiting of [...this.waiting]) {
        if (this.mayAnswer(waiting)) waiting.answer();
      }
    }, gatherMs);
  }

  /** Answers all polls that wait. */
  close(): void {
    clearTimeout(this.gathering);
    for (const waiting of [...this.waiting]) waiting.answer();
  }

  private position(): RoutingPosition {
    const { routing, registry } = this.parts.machine;
    return {
      routingVersion: routing.version(),
      evacuationRevision: routing.evacuationRevision(),
      registryRevision: registry.revision(),
    };
  }

  private mayAnswer({ poll, hasGathered }: WaitingPoll): boolean {
    return this.hasUrgentNews(poll) || (hasGathered && this.hasBackendNews(poll));
  }

  /** Whether there is a document, an evacuation, or as many backend servers as an answer takes. */
  private hasUrgentNews(have: RoutingPosition): boolean {
    const held = this.position();
    return (
      held.routingVersion > have.routingVersion ||
      held.evacuationRevision > have.evacuationRevision ||
      held.registryRevision - have.registryRevision >= maxBackendsInNews
    );
  }

  private hasBackendNews(have: RoutingPosition): boolean {
    return this.position().registryRevision > have.registryRevision;
  }

  private newsFor(have: RoutingPosition): RoutingNews {
    const { machine, leaderSilentMs, wallMs } = this.parts;
    const { routing, registry } = machine;
    const position = this.position();
    const document = routing.current();
    const isNewer = document !== undefined && document.version > have.routingVersion;
    const silentMs = leaderSilentMs();
    const backends = registry.changedSince(have.registryRevision, maxBackendsInNews);
    const isCut = backends.length === maxBackendsInNews;
    const registryRevision = isCut ? (backends.at(-1)?.revision ?? 0) : position.registryRevision;
    return {
      position: { ...position, registryRevision },
      // Entry hosts have no use for the operator's own form of the document.
      ...(isNewer ? { document: { ...document, source: '' } } : {}),
      ...(position.evacuationRevision > have.evacuationRevision
        ? { evacuations: [...routing.evacuationRecords()] }
        : {}),
      backends,
      silentMs: Number.isFinite(silentMs) ? silentMs : null,
      wallMs: wallMs(),
    };
  }
}
