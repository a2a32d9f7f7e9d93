import type { EventInput } from '@buckthornlug/protocol/events/eventSchema.js';

import type { Draws } from '../random/draws.js';
import { FakeLedgerGroup } from './fakeLedgerGroup.js';
import type { OnceBackend } from './onceBackend.js';
import { OnceHost, type OnceMoment } from './onceHost.js';
import type { VirtualTime } from '../time/virtualTime.js';

/** What the fleet is given. */
export interface OnceFleetParts {
  readonly time: VirtualTime;
  readonly random: Draws;
  readonly backend: OnceBackend;
  readonly hostIds: readonly string[];
  readonly groupIds: readonly string[];
  readonly onMoment: (moment: OnceMoment, hostId: string) => void;
}

/** Time after which the membership counts a silent host as failed. */
const detectionMs = 1500;

/** Hosts and ledger groups of one test, with the faults that a test brings about. */
export class OnceFleet {
  readonly events: EventInput[] = [];

  readonly groups: readonly FakeLedgerGroup[];

  private readonly hosts = new Map<string, OnceHost>();

  /** Time since which a host has been silent. */
  private readonly silentSinceMs = new Map<string, number>();

  constructor(private readonly parts: OnceFleetParts) {
    const { time, random } = parts;
    this.groups = parts.groupIds.map((groupId) => new FakeLedgerGroup(groupId, time, random));
    for (const hostId of parts.hostIds) this.startHost(hostId, 1);
  }

  host(hostId: string): OnceHost {
    const host = this.hosts.get(hostId);
    if (host === undefined) throw new Error(`host "${hostId}" does not exist`);
    return host;
  }

  kill(hostId: string): void {
    this.host(hostId).processTime.kill();
    this.silentSinceMs.set(hostId, this.parts.time.nowMs);
  }

  restart(hostId: string): void {
    const { incarnation } = this.host(hostId);
    this.kill(hostId);
    this.silentSinceMs.delete(hostId);
    this.startHost(hostId, incarnation + 1);
  }

  pause(hostId: string): void {
    if (!this.host(hostId).processTime.isRunning) return;
    this.host(hostId).processTime.pause();
    this.silentSinceMs.set(hostId, this.parts.time.nowMs);
  }

  resume(hostId: string): void {
    if (this.host(hostId).processTime.isRunning) return;
    this.host(hostId).processTime.resume();
    if (this.host(hostId).processTime.isRunning) this.silentSinceMs.delete(hostId);
  }

  private startHost(hostId: string, incarnation: number): void {
    const { time, backend, onMoment } = this.parts;
    const host = new OnceHost({
      hostId,
      incarnation,
      time,
      groupFor: (groupId, processTime) =>
        this.groups.find((group) => group.groupId === groupId)?.handleFor(hostId, processTime),
      findHost: (id) => this.findHost(id),
      runWork: (identity, intentId, processTime) => backend.run(identity, intentId, processTime),
      onMoment: (moment) => onMoment(moment, hostId),
      record: (event) => this.events.push(event),
    });
    this.hosts.set(hostId, host);
    if (incarnation === 1) return;
    for (const group of this.groups) {
      host.task.declareFormerIntentsLost(group.handleFor(hostId, host.processTime));
    }
  }

  private findHost(hostId: string): { incarnation: number; state: 'alive' | 'failed' } {
    const sinceMs = this.silentSinceMs.get(hostId);
    const isFailed = sinceMs !== undefined && this.parts.time.nowMs - sinceMs > detectionMs;
    return { incarnation: this.host(hostId).incarnation, state: isFailed ? 'failed' : 'alive' };
  }
}
