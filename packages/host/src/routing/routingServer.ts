import type { ControlMachine } from '@buckthornlug/core/submissions/controlMachine.js';

import type { RoutingUpdate, RoutingPoll, RoutingPosition } from './routingPollSchema.js';

/** Answers the polls of entry hosts from the committed state of a control host. */

/** Time over which changes are collected before waiting polls are answered. */
const changeCoalescingMs = 15;
/**
 * Shortest wait of a poll before it is answered with changes of backend servers only. It limits an
 * entry host to five polls in two seconds while backend servers change constantly, as during a rolling
 * restart; each poll costs both ends about 3 ms of processor time. Entry hosts must act on the
 * departure of a backend server within 2.5 s of its acknowledgement (the shortest such bound of the
 * deployments), six times as long.
 */
const backendUpdateDelayMs = 400;

/**
 * Largest number of backend server records in one answer. On a link of 2 Mbit/s, the slowest of
 * the deployments, these take about 0.1 s. An answer that takes longer than the time limit of the
 * poll would be requested over and over, and use up the bandwidth that calls need.
 */
const maxBackendsPerUpdate = 64;

/** Dependencies of `RoutingServer`. */
export interface RoutingServerParts {
  readonly machine: Pick<ControlMachine, 'routing' | 'registry'>;
  readonly stateAgeMs: () => number;
  readonly wallMs: () => number;
}

/** A poll that waits for changes. */
interface WaitingPoll {
  readonly poll: RoutingPoll;
  readonly takesChanges: boolean;
  /** Whether it has waited long enough to be answered with changes of backend servers only. */
  mayAnswerWithBackendsOnly: boolean;
  readonly answer: () => void;
}

/** Holds each poll open until there are changes for it or its wait is over. */
export class RoutingServer {
  private readonly waitingPolls = new Set<WaitingPoll>();

  private coalescingTimer: NodeJS.Timeout | undefined;

  private isClosed = false;

  constructor(private readonly parts: RoutingServerParts) {}

  /**
   * Answers at once if there is a newer document, a changed evacuation or a full batch of backend
   * servers; after a short wait if there are fewer changed backend servers; otherwise at the end
   * of the wait of the poll.
   *
   * @param takesChanges - whether the polling host takes changes in place of a document
   */
  poll(poll: RoutingPoll, takesChanges = true): Promise<RoutingUpdate> {
    if (poll.waitMs === 0 || this.isUrgent(poll)) {
      return Promise.resolve(this.buildUpdate(poll, takesChanges));
    }
    return new Promise((resolve) => {
      const timers: NodeJS.Timeout[] = [];
      const waiting: WaitingPoll = {
        poll,
        takesChanges,
        mayAnswerWithBackendsOnly: false,
        answer: () => {
          for (const timer of timers) clearTimeout(timer);
          this.waitingPolls.delete(waiting);
          resolve(this.buildUpdate(poll, takesChanges));
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

  /** Answers waiting polls shortly after the committed state may have changed. */
  changed(): void {
    if (this.waitingPolls.size === 0) return;
    this.coalescingTimer ??= setTimeout(() => {
      this.coalescingTimer = undefined;
      for (const waiting of [...this.waitingPolls]) {
        if (this.mayAnswer(waiting)) waiting.answer();
      }
    }, changeCoalescingMs);
  }

  /** Answers all waiting polls, and sends the polling hosts to other control hosts. */
  close(): void {
    this.isClosed = true;
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

  /** Whether there is a newer document, a changed evacuation or a full batch of backend servers. */
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

  /** What a host lacks of the document: the changes where they are known, else the whole. */
  private buildDocument(
    heldVersion: number,
    takesChanges: boolean,
  ): Pick<RoutingUpdate, 'document' | 'changes'> {
    const { routing } = this.parts.machine;
    const document = routing.current();
    if (document === undefined || document.version <= heldVersion) return {};
    const changes = takesChanges ? routing.changesSince(heldVersion) : undefined;
    if (changes !== undefined) return { changes };
    // Entry hosts do not need the document in the form that the operator submitted.
    return { document: { ...document, source: '' } };
  }

  private buildUpdate(pollerPosition: RoutingPosition, takesChanges: boolean): RoutingUpdate {
    const { machine, stateAgeMs, wallMs } = this.parts;
    const { routing, registry } = machine;
    const position = this.position();
    const silentMs = this.isClosed ? Number.POSITIVE_INFINITY : stateAgeMs();
    const backends = registry.changedSince(pollerPosition.registryRevision, maxBackendsPerUpdate);
    const isTruncated = backends.length === maxBackendsPerUpdate;
    const registryRevision = isTruncated
      ? (backends.at(-1)?.revision ?? 0)
      : position.registryRevision;
    return {
      position: { ...position, registryRevision },
      ...this.buildDocument(pollerPosition.routingVersion, takesChanges),
      ...(position.evacuationRevision > pollerPosition.evacuationRevision
        ? { evacuations: [...routing.evacuationRecords()] }
        : {}),
      backends,
      silentMs: Number.isFinite(silentMs) ? silentMs : null,
      wallMs: wallMs(),
    };
  }
}
