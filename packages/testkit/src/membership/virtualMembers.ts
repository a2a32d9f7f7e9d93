import { MembershipMachine } from '@buckthornlug/core/membership/membership.js';
import type {
  MemberEvent,
  MemberIdentity,
  MemberMessage,
  MembershipConfig,
  MembershipEffect,
} from '@buckthornlug/core/membership/membershipTypes.js';

/** Conditions on the links between virtual members. */
export interface VirtualLinks {
  lossPermille: number;
  minDelayMs: number;
  maxDelayMs: number;
  /** Time for which a host is busy with each message that it receives or sends. */
  messageCostMs: number;
  /** Whether messages from one host to another are dropped. */
  cut: (from: string, to: string) => boolean;
}

/** An event with the member that noticed it. */
export interface NoticedEvent extends MemberEvent {
  readonly atMs: number;
  readonly noticedBy: string;
}

interface VirtualMember {
  machine: MembershipMachine;
  readonly index: number;
  running: boolean;
  paused: boolean;
  readonly held: MemberMessage[];
  /** Time until which the host is busy with earlier messages; its ticks are late meanwhile. */
  busyUntilMs: number;
  incarnation: number;
}

/** Counts of what the members sent. */
export interface VirtualTraffic {
  messages: number;
  bytes: number;
  readonly byKind: Map<string, number>;
}

const tickMs = 100;

const defaultConfig = {
  tickMs,
  probeIntervalMs: 500,
  directTimeoutMs: 200,
  suspicionMs: 1200,
} as const;

/**
 * Identity of the member with an index; consecutive members share a zone.
 *
 * @param index - number of the member
 * @param perZone - members of a zone
 */
export function virtualIdentity(index: number, perZone: number): MemberIdentity {
  const zone = Math.floor(index / perZone);
  const endpoint = (port: number) => ({
    address: `127.1.${index >> 8}.${index & 255}`,
    port,
  });
  return {
    hostId: `h${index}`,
    region: `r${zone >> 1}`,
    availabilityZone: `z${zone}`,
    roles: ['entry'],
    callers: endpoint(7001),
    internal: endpoint(7002),
    admin: endpoint(7003),
  };
}

/** Membership machines on a virtual clock, joined by links that lose, delay and cut messages. */
export class VirtualMembers {
  readonly events: NoticedEvent[] = [];

  readonly traffic: VirtualTraffic = { messages: 0, bytes: 0, byKind: new Map() };

  readonly links: VirtualLinks = {
    lossPermille: 0,
    minDelayMs: 1,
    maxDelayMs: 5,
    messageCostMs: 0,
    cut: () => false,
  };

  private nowMs = 0;

  private readonly members = new Map<string, VirtualMember>();

  private readonly deliveries = new Map<number, (() => void)[]>();

  constructor(
    private readonly count: number,
    private readonly perZone: number,
    private readonly random: () => number,
    private readonly countBytes = false,
    private readonly probeIntervalMs: number = defaultConfig.probeIntervalMs,
  ) {
    for (let index = 0; index < count; index += 1) this.start(index);
  }

  now(): number {
    return this.nowMs;
  }

  machine(hostId: string): MembershipMachine {
    return this.member(hostId).machine;
  }

  hostIds(): string[] {
    return [...this.members.keys()];
  }

  /** Runs all members for a time. */
  run(durationMs: number): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += 1;
      this.deliverDue();
      this.tickDue();
    }
  }

  /** Runs until a condition holds; returns the time it took, or undefined after the limit. */
  runUntil(holds: () => boolean, limitMs: number): number | undefined {
    const startMs = this.nowMs;
    while (this.nowMs - startMs <= limitMs) {
      if (holds()) return this.nowMs - startMs;
      this.run(10);
    }
    return undefined;
  }

  crash(hostId: string): void {
    this.member(hostId).running = false;
  }

  /** Starts a member anew, with a new incarnation and no memory. */
  restart(hostId: string): void {
    this.start(this.member(hostId).index);
  }

  pause(hostId: string): void {
    this.member(hostId).paused = true;
  }

  /** Lets a paused member go on; messages that came meanwhile are delivered first. */
  resume(hostId: string): void {
    const member = this.member(hostId);
    member.paused = false;
    for (const message of member.held.splice(0)) this.receive(member, message);
  }

  leave(hostId: string): void {
    const member = this.member(hostId);
    this.carryOut(member, member.machine.leave('left', this.nowMs));
  }

  setVersion(hostId: string, version: number): void {
    const member = this.member(hostId);
    this.carryOut(
      member,
      member.machine.setVersions({ documentVersion: version, shiftRevision: 0 }, this.nowMs),
    );
  }

  /** State of a host as another one sees it. */
  stateSeen(by: string, of: string): string {
    return this.machine(by).find(of)?.state ?? 'unknown';
  }

  /** Whether all running members but the ones named hold a host in one of the states. */
  allSee(of: string, states: readonly string[], except: readonly string[] = []): boolean {
    for (const [hostId, member] of this.members) {
      if (!member.running || member.paused || hostId === of || except.includes(hostId)) continue;
      if (!states.includes(this.stateSeen(hostId, of))) return false;
    }
    return true;
  }

  /** Whether every running member holds every running member to be alive. */
  allAlive(): boolean {
    return this.hostIds().every((of) => !this.member(of).running || this.allSee(of, ['alive']));
  }

  private member(hostId: string): VirtualMember {
    const member = this.members.get(hostId);
    if (member === undefined) throw new Error(`no member ${hostId}`);
    return member;
  }

  private start(index: number): void {
    const identity = virtualIdentity(index, this.perZone);
    const config: MembershipConfig = {
      ...defaultConfig,
      probeIntervalMs: this.probeIntervalMs,
      seeds: this.seedsOf(index),
    };
    const incarnation = this.nowMs + 1;
    const machine = new MembershipMachine(identity, incarnation, config, this.random, this.nowMs);
    this.members.set(identity.hostId, {
      machine,
      index,
      running: true,
      paused: false,
      held: [],
      busyUntilMs: this.nowMs,
      incarnation,
    });
  }

  /** The first host of each of some zones, and the first ones of the own zone. */
  private seedsOf(index: number) {
    const firstOfZone = index - (index % this.perZone);
    const indexes = new Set([firstOfZone, firstOfZone + 1, 0, this.perZone, 2 * this.perZone]);
    return [...indexes]
      .filter((seed) => seed !== index && seed < this.count)
      .map((seed) => virtualIdentity(seed, this.perZone))
      .map(({ hostId, internal }) => ({ hostId, internal }));
  }

  private tickDue(): void {
    for (const member of this.members.values()) {
      if (!member.running || member.paused) continue;
      if ((this.nowMs + member.index * 37) % tickMs !== 0) continue;
      if (member.busyUntilMs > this.nowMs) continue;
      this.carryOut(member, member.machine.tick(this.nowMs));
    }
  }

  private deliverDue(): void {
    const due = this.deliveries.get(this.nowMs);
    if (due === undefined) return;
    this.deliveries.delete(this.nowMs);
    for (const deliver of due) deliver();
  }

  private deliver(message: MemberMessage): void {
    const member = this.members.get(message.to);
    if (member === undefined || !member.running) return;
    if (member.paused) {
      member.held.push(message);
      return;
    }
    this.keepBusy(member);
    if (member.busyUntilMs <= this.nowMs + 1) this.receive(member, message);
    else this.deliverAt(Math.ceil(member.busyUntilMs), () => this.receive(member, message));
  }

  private receive(member: VirtualMember, message: MemberMessage): void {
    this.carryOut(member, member.machine.receive(message, this.nowMs));
  }

  private keepBusy(member: VirtualMember): void {
    const busy = member;
    busy.busyUntilMs = Math.max(busy.busyUntilMs, this.nowMs) + this.links.messageCostMs;
  }

  private deliverAt(atMs: number, deliver: () => void): void {
    const due = this.deliveries.get(atMs) ?? [];
    this.deliveries.set(atMs, due);
    due.push(deliver);
  }

  private carryOut(member: VirtualMember, effects: readonly MembershipEffect[]): void {
    const { hostId } = member.machine.ownEntry().identity;
    for (const effect of effects) {
      if (effect.effect === 'send') {
        this.keepBusy(member);
        this.post(hostId, effect.message);
      }
      if (effect.effect === 'event') {
        this.events.push({ ...effect.event, atMs: this.nowMs, noticedBy: hostId });
      }
    }
  }

  private post(from: string, message: MemberMessage): void {
    this.traffic.messages += 1;
    const { byKind } = this.traffic;
    byKind.set(message.kind, (byKind.get(message.kind) ?? 0) + 1);
    if (this.countBytes) this.traffic.bytes += JSON.stringify(message).length;
    if (this.random() * 1000 < this.links.lossPermille) return;
    if (this.links.cut(from, message.to)) return;
    const { minDelayMs, maxDelayMs } = this.links;
    const delayMs = Math.max(1, Math.round(minDelayMs + this.random() * (maxDelayMs - minDelayMs)));
    const atMs = this.nowMs + delayMs;
    this.deliverAt(atMs, () => this.deliver(message));
  }
}
