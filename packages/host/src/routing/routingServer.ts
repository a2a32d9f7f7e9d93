import type { ControlMachine } from '@buckthornlug/core/submissions/controlMachine.js';

import type { RoutingUpdate, RoutingPoll, RoutingPosition } from './routingPollSchema.js';

/** Answers the polls of entry hosts from the committed state of a control host. */

/** Time in which changes gather before waiting polls are answered. */
const changeCoalescingMs = 15;
/**
 * Time that a poll waits at least for news of backend servers alone, so that an entry host asks at most
 * five times a second while they change all the time, as at the start of a deployment: each answer costs
 * both ends about a millisecond of processor time. A backend server that leaves binds entry hosts 2.5 s
 * after its acknowledgement (the shortest such bound of the deployments), twelve times as long.
 */
const backendUpdateDelayMs = 200;

/**
 * Records of backend servers in one answer. On a link of 2 Mbit/s, the slowest of the deployments, so
 * many take about a tenth of a second; an answer that takes longer than the poll's time limit would be
 * asked for again and again, and leave no room for the calls.
 */
const maxBackendsPerUpdate = 64;

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
  mayAnswerWithBackendsOnly: boolean;
  readonly answer: () => void;
}

/** Holds polls open until there is news for them. */
export class RoutingServer {
  private readonly waitingPolls = new Set<WaitingPoll>();

  private coalescingTimer: NodeJS.Timeout | undefined;

  /**
   * @param parts - committed state and clocks
   */
  constructor(private readonly parts: RoutingServerParts) {}

  /**
   * Answers at once where there is a document or an evacuation, or a full answer of backend servers;
   * after a while where there are some backend servers; else after the wait of the poll.
   */
  poll(poll: RoutingPoll): Promise<RoutingUpdate> {
    if (poll.waitMs === 0 || this.isUrgent(poll)) return Promise.resolve(this.buildUpdate(poll));
    return new Promise((resolve) => {
      const timers: NodeJS.Timeout[] = [];
      const waiting: WaitingPoll = {
        poll,
        mayAnswerWithBackendsOnly: false,
        answer: () => {
          for (const timer of timers) clearTimeout(timer);
          this.waitingPolls.delete(waiting);
          resolve(this.buildUpdate(poll));
        },
      };
      const onBackendDelayElapsed = () => {
        waiting.mayAnswerWithBackendsOnly = true;
        if (this.hasBackendChanges(poll)) waiting.answer();
      };
      timers.push(setTimeout(onBackendDelayElapsed, Math.min(backendUpdateDelayMs, poll.waitMs)));
      timers.push(setTimeout(waiting.answer, poll.waitMs));
      this.waitingPolls.add(waiting);
    });
  }

  /** Takes note that the committed state may have changed. */
  changed(): void {
    if (this.waitingPolls.size === 0) return;
    this.coalescingTimer ??= setTimeout(() => {
      this.coalescingTimer = undefined;
      for (const waiting of [...this.waitingPolls]) {
        if (this.mayAnswer(waiting)) waiting.answer();
      }
    }, changeCoalescingMs);
  }

  /** Answers all polls that wait. */
  close(): void {
    clearTimeout(this.coalescingTimer);
    for (const waiting of [...this.waitingPolls]) waiting.answer();
  }

  private position(): RoutingPosition {
    const { routing, registry } = this.parts.machine;
    return {
      routingVersion: routing.version(),
      evacuationRevision: routing.evacuationRevision(),
      registryRevision: registry.revision(),
    };
  }

  private mayAnswer({ poll, mayAnswerWithBackendsOnly }: WaitingPoll): boolean {
    return this.isUrgent(poll) || (mayAnswerWithBackendsOnly && this.hasBackendChanges(poll));
  }

  /** Whether there is a document, an evacuation, or as many backend servers as an answer takes. */
  private isUrgent(pollerPosition: RoutingPosition): boolean {
    const current = this.position();
    return (
      current.routingVersion > pollerPosition.routingVersion ||
      current.evacuationRevision > pollerPosition.evacuationRevision ||
      current.registryRevision - pollerPosition.registryRevision >= maxBackendsPerUpdate
    );
  }

  private hasBackendChanges(pollerPosition: RoutingPosition): boolean {
    return this.position().registryRevision > pollerPosition.registryRevision;
  }

  private buildUpdate(pollerPosition: RoutingPosition): RoutingUpdate {
    const { machine, leaderSilentMs, wallMs } = this.parts;
    const { routing, registry } = machine;
    const position = this.position();
    const document = routing.current();
    const hasNewerDocument =
      document !== undefined && document.version > pollerPosition.routingVersion;
    const silentMs = leaderSilentMs();
    const backends = registry.changedSince(pollerPosition.registryRevision, maxBackendsPerUpdate);
    const isTruncated = backends.length === maxBackendsPerUpdate;
    const registryRevision = isTruncated
      ? (backends.at(-1)?.revision ?? 0)
      : position.registryRevision;
    return {
      position: { ...position, registryRevision },
      // Entry hosts have no use for the operator's own form of the document.
      ...(hasNewerDocument ? { document: { ...document, source: '' } } : {}),
      ...(position.evacuationRevision > pollerPosition.evacuationRevision
        ? { evacuations: [...routing.evacuationRecords()] }
        : {}),
      backends,
      silentMs: Number.isFinite(silentMs) ? silentMs : null,
      wallMs: wallMs(),
    };
  }
}
