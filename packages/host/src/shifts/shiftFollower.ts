import { ShiftTable } from '@buckthornlug/core/shifts/shiftTable.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { ResultAsync } from 'neverthrow';

import type { HostContext } from '../runtime/hostTypes.js';
import type { ShiftExchange, ShiftExchangeReply } from './shiftExchangeSchema.js';

/** Exchanges in a row that may fail before a host counts as out of contact. */
const missedExchanges = 5;

/** What the copy of a host is given. */
export interface ShiftFollowerParts {
  readonly context: Pick<HostContext, 'settings' | 'clock' | 'record'>;
  /** Hosts that may be members of the control group. */
  readonly controlHosts: () => readonly string[];
  readonly exchange: (
    hostId: string,
    request: ShiftExchange,
  ) => ResultAsync<ShiftExchangeReply, Failure>;
}

/** The steps as a host knows them. Without contact it holds them as they are. */
export class ShiftFollower {
  readonly table = new ShiftTable();

  private askedHostId: string | undefined;

  private lastContactAtMs: number;

  private wasHeld = false;

  private isAsking = false;

  constructor(private readonly parts: ShiftFollowerParts) {
    this.lastContactAtMs = parts.context.clock.nowMs();
  }

  /** Whether the host is out of contact with the control group. */
  get isHeld(): boolean {
    const { clock, settings } = this.parts.context;
    const silentMs = clock.nowMs() - this.lastContactAtMs;
    return silentMs > missedExchanges * settings.timing.documentPollMs;
  }

  /** Asks a control host for newer steps; to be called regularly. */
  async tick(): Promise<void> {
    this.reportHeld();
    if (this.isAsking) return;
    const hostId = this.askedHostId ?? this.nextControlHost();
    if (hostId === undefined) return;
    this.isAsking = true;
    const reply = await this.parts.exchange(hostId, { revision: this.table.revision });
    this.isAsking = false;
    if (reply.isErr()) {
      this.askedHostId = this.nextControlHost(hostId);
      return;
    }
    for (const step of reply.value.steps) this.table.learn(step);
    const { isLeader, leaderId } = reply.value;
    if (isLeader || leaderId !== undefined) this.lastContactAtMs = this.parts.context.clock.nowMs();
    this.askedHostId = isLeader ? hostId : (leaderId ?? this.nextControlHost(hostId));
  }

  private nextControlHost(after?: string): string | undefined {
    const hosts = this.parts.controlHosts();
    const index = after === undefined ? -1 : hosts.indexOf(after);
    return hosts[(index + 1) % Math.max(1, hosts.length)];
  }

  private reportHeld(): void {
    const isHeldNow = this.isHeld;
    if (isHeldNow && !this.wasHeld) {
      const detail = { reason: 'noContact', revision: this.table.revision };
      this.parts.context.record({ kind: 'shiftHeld', detail });
    }
    this.wasHeld = isHeldNow;
  }
}
