import { idSchema } from '@buckthornlug/protocol/common/primitives.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import { z } from 'zod';

/** Requests between hosts about replicated groups. */

/** A batch of messages of one replica to another; the messages are CBOR in base64. */
export const deliverSchema = z.strictObject({
  groupId: idSchema,
  formationId: z.string(),
  messages: z.string(),
});

/** A command for the leader; the command is CBOR in base64. */
export const submitSchema = z.strictObject({
  groupId: idSchema,
  command: z.string(),
  mode: z.enum(['commit', 'read']).default('commit'),
  timeoutMs: z.number().positive(),
});

export const describeSchema = z.strictObject({ groupId: idSchema });

/** Request of a replica to be added to its group. */
export const joinSchema = z.strictObject({ groupId: idSchema, replicaId: z.string() });

export type DeliverRequest = z.infer<typeof deliverSchema>;
export type SubmitRequest = z.infer<typeof submitSchema>;
export type DescribeRequest = z.infer<typeof describeSchema>;
export type JoinRequest = z.infer<typeof joinSchema>;

/** Replies to the sender that are ready already, CBOR in base64; null if there are none. */
export interface DeliverReply {
  readonly answers: string | null;
}

/** Outcome of a request that only the leader can serve. */
export type LeaderReply =
  | { readonly ok: true; readonly reply: string }
  | { readonly ok: false; readonly failure: Failure; readonly leaderId?: string };

/** One replica of a group as a host sees it. */
export interface ReplicaStatus {
  readonly replicaId: string;
  readonly hostId: string;
  readonly role: 'voter' | 'learner';
  /** Entries that the replica lacks; absent if this host does not lead. */
  readonly lagEntries?: number;
}

/** A group as one host sees it. */
export interface GroupDescription {
  readonly groupId: string;
  readonly state: 'empty' | 'running' | 'failed' | 'unknown';
  readonly replicaId?: string;
  readonly formationId?: string;
  /** Voters that the group started with. */
  readonly firstVoters?: readonly string[];
  readonly term?: number;
  readonly leaderId?: string;
  readonly isLeader?: boolean;
  readonly commitIndex?: number;
  /** Size of the log entries in memory. */
  readonly logBytes?: number;
  readonly replicas?: readonly ReplicaStatus[];
  readonly failure?: Failure;
  /** Version of the document on the host that answers; 0 if it has none. */
  readonly documentVersion?: number;
}
