/* eslint no-param-reassign: ['error', { props: false }] */
import type { ConsensusMessage } from '@buckthornlug/core/consensus/consensusTypes.js';
import { hostIdOf } from '@buckthornlug/core/consensus/membership.js';

/** Sends messages to other replicas in batches, a few requests at a time to each host. */

/** Concurrent requests to one host; further messages wait and join the next batch. */
const maxRequestsInFlight = 8;
const maxBatchMessages = 256;
/** Entries and snapshot data in one batch; a batch has at least one message. */
const maxBatchBytes = 1024 * 1024;
/** Messages that wait for a host that does not answer; the oldest are dropped first. */
const maxWaitingMessages = 1024;

/** Sends one batch; settles when it was delivered or has failed. */
export type SendBatch = (hostId: string, messages: readonly ConsensusMessage[]) => Promise<void>;

/** Sends messages as a datagram if possible; returns whether they were sent. */
export type SendHeartbeats = (hostId: string, messages: readonly ConsensusMessage[]) => boolean;

/** Messages to one host that are returned in the reply to its request. */
export interface MessageCollection {
  /** Ends the collection and returns its messages. */
  readonly end: () => ConsensusMessage[];
}

/** Outgoing messages of one replica. */
export interface MessageOutbox {
  readonly post: (message: ConsensusMessage) => void;
  /** Collects messages to a host instead of sending them, until the collection ends. */
  readonly collect: (hostId: string) => MessageCollection;
  readonly close: () => void;
}

/** Size of the entries or the snapshot data of a message. */
function contentBytes(message: ConsensusMessage): number {
  if (message.kind === 'snapshotChunk') return message.data.byteLength;
  if (message.kind !== 'append') return 0;
  let bytes = 0;
  for (const { body } of message.entries) {
    if (body.kind === 'command') bytes += body.data.byteLength;
  }
  return bytes;
}

/** Number of the first messages that fit one batch. */
function countBatch(messages: readonly ConsensusMessage[]): number {
  let bytes = 0;
  for (const [index, message] of messages.slice(0, maxBatchMessages).entries()) {
    bytes += contentBytes(message);
    if (index > 0 && bytes > maxBatchBytes) return index;
  }
  return Math.min(messages.length, maxBatchMessages);
}

interface HostQueue {
  waiting: ConsensusMessage[];
  inFlight: number;
  isScheduled: boolean;
  readonly collections: Set<ConsensusMessage[]>;
}

/**
 * Creates an outbox.
 *
 * @param sendHeartbeats - sends messages whose loss is harmless; tried while no batch is in flight
 */
export function createMessageOutbox(
  sendBatch: SendBatch,
  sendHeartbeats: SendHeartbeats,
): MessageOutbox {
  const queues = new Map<string, HostQueue>();
  let isClosed = false;

  const queueOf = (hostId: string): HostQueue => {
    const known = queues.get(hostId);
    if (known !== undefined) return known;
    const created = {
      waiting: [],
      inFlight: 0,
      isScheduled: false,
      collections: new Set<ConsensusMessage[]>(),
    };
    queues.set(hostId, created);
    return created;
  };

  const flush = (hostId: string, queue: HostQueue): void => {
    queue.isScheduled = false;
    while (!isClosed && queue.waiting.length > 0 && queue.inFlight < maxRequestsInFlight) {
      const batch = queue.waiting.splice(0, countBatch(queue.waiting));
      if (queue.inFlight === 0 && sendHeartbeats(hostId, batch)) continue;
      queue.inFlight += 1;
      const done = () => {
        queue.inFlight -= 1;
        flush(hostId, queue);
      };
      sendBatch(hostId, batch).then(done, done);
    }
  };

  return {
    post: (message) => {
      const hostId = hostIdOf(message.to);
      const queue = queueOf(hostId);
      const [collection] = queue.collections;
      if (collection !== undefined) {
        collection.push(message);
        return;
      }
      queue.waiting.push(message);
      if (queue.waiting.length > maxWaitingMessages) queue.waiting.shift();
      if (queue.isScheduled || isClosed) return;
      queue.isScheduled = true;
      queueMicrotask(() => flush(hostId, queue));
    },
    collect: (hostId) => {
      const { collections } = queueOf(hostId);
      const collection: ConsensusMessage[] = [];
      collections.add(collection);
      return {
        end: () => {
          collections.delete(collection);
          return collection;
        },
      };
    },
    close: () => {
      isClosed = true;
      queues.clear();
    },
  };
}
