import { setTimeout as delay } from 'node:timers/promises';

import { MembershipMachine } from '@buckthornlug/core/membership/membership.js';
import type {
  HeldVersions,
  MemberEvent,
  MemberMessage,
  MembershipEffect,
} from '@buckthornlug/core/membership/membershipTypes.js';

import type { HostContext, MembershipView } from '../runtime/hostTypes.js';
import { createMemberView } from './memberView.js';

const tickMs = 100;
/** Longest wait for the last messages of a host that leaves. */
const maxLeaveWaitMs = 500;

/** Sends a message to its receiver and gives back the answers. */
export type SendMessage = (message: MemberMessage) => Promise<readonly MemberMessage[]>;

/** The task that owns the membership of a host. */
export interface MembershipTask {
  readonly view: MembershipView;
  /** Takes a message of another host; returns the messages for it. */
  readonly deliver: (fromHostId: string, message: MemberMessage) => readonly MemberMessage[];
  /** Takes a message of another host; answers to it are sent as messages. */
  readonly receive: (message: MemberMessage) => void;
  /** Reports what this host holds of the control group's state. */
  readonly setVersions: (held: HeldVersions) => void;
  /** Notes what a process said that it holds; false where that process is not known yet. */
  readonly recordVersions: (hostId: string, incarnation: number, held: HeldVersions) => boolean;
  /** Hosts that carry records between a zone and the others. */
  readonly relaysOf: (availabilityZone: string) => readonly string[];
  /** Tells the others that this host is leaving or has left. */
  readonly leave: (state: 'leaving' | 'left') => Promise<void>;
  readonly close: () => void;
}

function createMachine(context: HostContext): MembershipMachine {
  const { settings, incarnation, clock, random } = context;
  const { hostId, region, availabilityZone, roles, listen, timing } = settings;
  return new MembershipMachine(
    { hostId, region, availabilityZone, roles, ...listen },
    incarnation,
    {
      tickMs,
      probeIntervalMs: timing.probeIntervalMs,
      directTimeoutMs: timing.probeTimeoutMs / 2,
      suspicionMs: timing.suspicionMs,
      seeds: settings.peers,
    },
    random,
    clock.nowMs(),
  );
}

function recordEvent(context: HostContext, event: MemberEvent): void {
  const { kind, hostId, availabilityZone, incarnation } = event;
  context.record({ kind, detail: { member: hostId, memberZone: availabilityZone, incarnation } });
  context.log.info(kind, { member: hostId, memberZone: availabilityZone });
}

function reportConflict(context: HostContext): void {
  const { hostId } = context.settings;
  context.log.error('identityConflict', { code: 'BL6002', member: hostId });
}

/** Carries out the effects of a machine and feeds the answers of other hosts back to it. */
class MembershipRunner {
  readonly view: ReturnType<typeof createMemberView>;

  private readonly messagesInFlight = new Set<Promise<void>>();

  constructor(
    private readonly context: HostContext,
    private readonly machine: MembershipMachine,
    private readonly sendMessage: SendMessage,
  ) {
    this.view = createMemberView(machine);
  }

  runEffects(effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      if (effect.effect === 'send') this.send(effect.message);
      if (effect.effect === 'event') recordEvent(this.context, effect.event);
      if (effect.effect === 'identityConflict') reportConflict(this.context);
    }
    this.view.refresh();
  }

  /** Takes a message; the messages for its sender are given back, the others are sent. */
  deliver(fromHostId: string, message: MemberMessage): readonly MemberMessage[] {
    if (message.from.hostId !== fromHostId) return [];
    const effects = this.machine.receive(message, this.context.clock.nowMs());
    const answers: MemberMessage[] = [];
    const otherEffects: MembershipEffect[] = [];
    for (const effect of effects) {
      if (effect.effect === 'send' && effect.message.to === fromHostId)
        answers.push(effect.message);
      else otherEffects.push(effect);
    }
    this.runEffects(otherEffects);
    return answers;
  }

  /** Waits until all messages are answered or lost. */
  async waitForAnswers(): Promise<void> {
    await Promise.all(this.messagesInFlight);
  }

  private send(message: MemberMessage): void {
    const sent = this.exchange(message).finally(() => this.messagesInFlight.delete(sent));
    this.messagesInFlight.add(sent);
  }

  private async exchange(message: MemberMessage): Promise<void> {
    this.context.metrics.count('membership_messages_sent_total', { kind: message.kind });
    const answers = await this.sendMessage(message);
    for (const answer of answers) {
      this.runEffects(this.machine.receive(answer, this.context.clock.nowMs()));
    }
  }
}

/**
 * Starts the membership of a host.
 *
 * @param context - context of the host
 * @param sendMessage - carries messages to other hosts
 */
export function startMembershipTask(
  context: HostContext,
  sendMessage: SendMessage,
): MembershipTask {
  const { clock } = context;
  const machine = createMachine(context);
  const runner = new MembershipRunner(context, machine, sendMessage);
  const timer = setInterval(() => runner.runEffects(machine.tick(clock.nowMs())), tickMs);
  return {
    view: runner.view,
    deliver: (fromHostId, message) => runner.deliver(fromHostId, message),
    receive: (message) => runner.runEffects(machine.receive(message, clock.nowMs())),
    setVersions: (held) => runner.runEffects(machine.setVersions(held, clock.nowMs())),
    recordVersions: (hostId, incarnation, held) => {
      const isKnown = machine.recordVersions(hostId, incarnation, held);
      runner.view.refresh();
      return isKnown;
    },
    relaysOf: (zone) => machine.relaysOf(zone).map((entry) => entry.identity.hostId),
    leave: async (state) => {
      runner.runEffects(machine.leave(state, clock.nowMs()));
      await Promise.race([
        runner.waitForAnswers(),
        delay(maxLeaveWaitMs, undefined, { ref: false }),
      ]);
    },
    close: () => clearInterval(timer),
  };
}
