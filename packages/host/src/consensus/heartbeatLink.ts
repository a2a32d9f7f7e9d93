import { ReplayWindow } from '@buckthornlug/core/keys/replayWindow.js';
import type { ConsensusMessage } from '@buckthornlug/core/consensus/consensusTypes.js';
import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import { Result } from 'neverthrow';
import { z } from 'zod';

import type { Datagrams } from '../rpc/datagrams.js';
import { decodeText, encodeText } from './binaryCodec.js';

/** Heartbeats of replicated groups and the answers to them, as signed datagrams. */

/** Datagrams to a host without any from it, after which procedure calls are used. */
const maxUnanswered = 2;
/** Time after which a host that does not answer by datagrams is tried again. */
const retryMs = 5000;

const contentSchema = z.strictObject({
  from: z.string(),
  to: z.string(),
  sentAtMs: z.number(),
  nonce: z.string(),
  groupId: z.string(),
  formationId: z.string(),
  /** CBOR in base64. */
  messages: z.string(),
});

const messageSchema = z.looseObject({ kind: z.string() });

/** The fields of a signed message are those of its sender; the kind alone is checked here. */
const messagesSchema = z.array(
  z.custom<ConsensusMessage>((value) => messageSchema.safeParse(value).success),
);

const parseContent = Result.fromThrowable(
  (content: string) => contentSchema.parse(JSON.parse(content)),
  () => 'another form',
);

const decodeMessages = Result.fromThrowable(
  (text: string) => messagesSchema.parse(decodeText(text)),
  () => 'another form',
);

/** Messages of one group that came as a datagram. */
export interface HeartbeatBatch {
  readonly fromHostId: string;
  readonly groupId: string;
  readonly formationId: string;
  readonly messages: readonly ConsensusMessage[];
}

/** What a link is given. */
export interface HeartbeatLinkParts {
  readonly hostId: string;
  /** Distinguishes this process from earlier ones of the host. */
  readonly incarnation: number;
  readonly datagrams: Pick<Datagrams, 'send' | 'receive'>;
  /** Address of a host for datagrams; undefined where it is reached by procedure calls only. */
  readonly addressOf: (hostId: string) => Endpoint | undefined;
  readonly clock: { readonly nowMs: () => number; readonly wallMs: () => number };
  readonly onBatch: (batch: HeartbeatBatch) => void;
}

/** How well a host answers by datagrams. */
interface HostContact {
  unanswered: number;
  retryAtMs: number;
}

/** Tells whether a message may be lost: the next heartbeat makes up for it. */
function isHeartbeat(message: ConsensusMessage): boolean {
  if (message.kind === 'appendReply') return true;
  return message.kind === 'append' && message.entries.length === 0;
}

/** Sends heartbeats as datagrams, as long as their receiver answers by datagrams. */
export class HeartbeatLink {
  private readonly contacts = new Map<string, HostContact>();

  private readonly window = new ReplayWindow();

  private count = 0;

  constructor(private readonly parts: HeartbeatLinkParts) {
    parts.datagrams.receive('consensus', (content) => this.receive(content));
  }

  /**
   * Sends messages of a group where all are heartbeats and the receiver answers by datagrams.
   *
   * @returns whether they were sent; false means that a procedure call has to carry them
   */
  send(
    hostId: string,
    groupId: string,
    formationId: string,
    messages: readonly ConsensusMessage[],
  ): boolean {
    if (!messages.every(isHeartbeat)) return false;
    const { datagrams, addressOf, clock, incarnation } = this.parts;
    const endpoint = addressOf(hostId);
    if (endpoint === undefined || !this.mayTry(hostId)) return false;
    this.count += 1;
    return datagrams.send(
      endpoint,
      'consensus',
      JSON.stringify({
        from: this.parts.hostId,
        to: hostId,
        sentAtMs: clock.wallMs(),
        nonce: `${incarnation}.${this.count}`,
        groupId,
        formationId,
        messages: encodeText(messages),
      }),
    );
  }

  private contactOf(hostId: string): HostContact {
    const known = this.contacts.get(hostId);
    if (known !== undefined) return known;
    const created = { unanswered: 0, retryAtMs: 0 };
    this.contacts.set(hostId, created);
    return created;
  }

  private mayTry(hostId: string): boolean {
    const contact = this.contactOf(hostId);
    const nowMs = this.parts.clock.nowMs();
    if (contact.unanswered >= maxUnanswered && nowMs < contact.retryAtMs) return false;
    contact.unanswered += 1;
    contact.retryAtMs = nowMs + retryMs;
    return true;
  }

  private receive(content: string): void {
    const parsed = parseContent(content);
    if (parsed.isErr() || parsed.value.to !== this.parts.hostId) return;
    const { from, sentAtMs, nonce, groupId, formationId } = parsed.value;
    const messages = decodeMessages(parsed.value.messages);
    if (messages.isErr()) return;
    if (!this.window.accept(`${from} ${nonce}`, sentAtMs, this.parts.clock.wallMs())) return;
    this.contactOf(from).unanswered = 0;
    this.parts.onBatch({ fromHostId: from, groupId, formationId, messages: messages.value });
  }
}
