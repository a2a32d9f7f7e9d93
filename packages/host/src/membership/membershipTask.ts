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
/** Longest wait until the last messages of a leaving host are answered. */
const maxLeaveWaitMs = 500;

/** Sends a message to its receiver and returns the answers. */
export type SendMessage = (message: MemberMessage) => Promise<readonly MemberMessage[]>;

/** Task that owns the membership machine of a host. */
export interface MembershipTask {
  readonly view: MembershipView;
  /** Handles a message of another host; returns the messages for that host. */
  readonly deliver: (fromHostId: string, message: MemberMessage) => readonly MemberMessage[];
  /** Handles a message of another host; the answers are sent as separate messages. */
  readonly receive: (message: MemberMessage) => void;
  /** Sets the versions of the control group's state that this host holds. */
  readonly setVersions: (held: HeldVersions) => void;
  /** Records the versions that a process reported; returns false if the process is unknown. */
  readonly recordVersions: (hostId: string, incarnation: number, held: HeldVersions) => boolean;
  /** Hosts that relay records between a zone and the other zones. */
  readonly relaysOf: (availabilityZone: string) => readonly string[];
  /** Announces to the other hosts that this host is leaving or has left. */
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

/** Runs the effects of the machine and passes the answers of other hosts to it. */
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

  /** Handles a message; messages for its sender are returned, all others are sent. */
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

  /** Waits until all messages in flight are answered or have failed. */
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
