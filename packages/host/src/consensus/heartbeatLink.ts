import { ReplayWindow } from '@buckthornlug/core/keys/replayWindow.js';
import type { ConsensusMessage } from '@buckthornlug/core/consensus/consensusTypes.js';
import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import { Result } from 'neverthrow';
import { z } from 'zod';

import type { Datagrams } from '../rpc/datagrams.js';
import { decodeBase64, encodeBase64 } from './binaryCodec.js';

/** Heartbeats of replicated groups and the replies to them, as signed datagrams. */

/** Consecutive unanswered datagrams to a host after which procedure calls are used. */
const maxUnansweredDatagrams = 2;
/** Time after which a host that did not answer datagrams is sent one again. */
const retryDelayMs = 5000;

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

/** Only the kind is checked here; the signature vouches for the other fields. */
const messagesSchema = z.array(
  z.custom<ConsensusMessage>((value) => messageSchema.safeParse(value).success),
);

const parseContent = Result.fromThrowable(
  (content: string) => contentSchema.parse(JSON.parse(content)),
  () => 'unexpected format',
);

const decodeMessages = Result.fromThrowable(
  (text: string) => messagesSchema.parse(decodeBase64(text)),
  () => 'unexpected format',
);

/** Messages of one group, received in one datagram. */
export interface HeartbeatBatch {
  readonly fromHostId: string;
  readonly groupId: string;
  readonly formationId: string;
  readonly messages: readonly ConsensusMessage[];
}

/** Dependencies of a link. */
export interface HeartbeatLinkParts {
  readonly hostId: string;
  /** Distinguishes this process from earlier ones of the host. */
  readonly incarnation: number;
  readonly datagrams: Pick<Datagrams, 'send' | 'receive'>;
  /** Datagram address of a host; undefined if it is reached by procedure calls only. */
  readonly addressOf: (hostId: string) => Endpoint | undefined;
  readonly clock: { readonly nowMs: () => number; readonly wallMs: () => number };
  readonly onBatch: (batch: HeartbeatBatch) => void;
}

/** Datagrams that a host left unanswered, and when to try again. */
interface DatagramStatus {
  unansweredDatagrams: number;
  retryAtMs: number;
}

/** Whether a message may be lost, because the next heartbeat makes up for it. */
function isHeartbeat(message: ConsensusMessage): boolean {
  if (message.kind === 'appendReply') return true;
  return message.kind === 'append' && message.entries.length === 0;
}

/** Sends heartbeats as datagrams to hosts that answer by datagrams. */
export class HeartbeatLink {
  private readonly statusByHostId = new Map<string, DatagramStatus>();

  private readonly replayWindow = new ReplayWindow();

  private sentCount = 0;

  constructor(private readonly parts: HeartbeatLinkParts) {
    parts.datagrams.receive('consensus', (content) => this.receive(content));
  }

  /**
   * Sends messages of a group if all are heartbeats and the receiver answers by datagrams.
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
    if (endpoint === undefined || !this.tryAdmitSend(hostId)) return false;
    this.sentCount += 1;
    return datagrams.send(
      endpoint,
      'consensus',
      JSON.stringify({
        from: this.parts.hostId,
        to: hostId,
        sentAtMs: clock.wallMs(),
        nonce: `${incarnation}.${this.sentCount}`,
        groupId,
        formationId,
        messages: encodeBase64(messages),
      }),
    );
  }

  private statusOf(hostId: string): DatagramStatus {
    const known = this.statusByHostId.get(hostId);
    if (known !== undefined) return known;
    const created = { unansweredDatagrams: 0, retryAtMs: 0 };
    this.statusByHostId.set(hostId, created);
    return created;
  }

  /** Counts a datagram to a host as unanswered, or refuses it while the host does not answer. */
  private tryAdmitSend(hostId: string): boolean {
    const hostStatus = this.statusOf(hostId);
    const nowMs = this.parts.clock.nowMs();
    if (hostStatus.unansweredDatagrams >= maxUnansweredDatagrams && nowMs < hostStatus.retryAtMs)
      return false;
    hostStatus.unansweredDatagrams += 1;
    hostStatus.retryAtMs = nowMs + retryDelayMs;
    return true;
  }

  private receive(content: string): void {
    const parsed = parseContent(content);
    if (parsed.isErr() || parsed.value.to !== this.parts.hostId) return;
    const { from, sentAtMs, nonce, groupId, formationId } = parsed.value;
    const messages = decodeMessages(parsed.value.messages);
    if (messages.isErr()) return;
    if (!this.replayWindow.accept(`${from} ${nonce}`, sentAtMs, this.parts.clock.wallMs())) return;
    this.statusOf(from).unansweredDatagrams = 0;
    this.parts.onBatch({ fromHostId: from, groupId, formationId, messages: messages.value });
  }
}
