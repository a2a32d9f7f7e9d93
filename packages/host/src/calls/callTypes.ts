import type { IncomingMessage, ServerResponse } from 'node:http';

import type { CallClass } from '@buckthornlug/core/table/tableTypes.js';
import type { Service } from '@buckthornlug/protocol/document/documentTypes.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { CallOutcome, PendingCall } from '@buckthornlug/protocol/steering/placementTypes.js';

/** A classified call, with the request from the caller or from the forwarding host and its response. */
export interface AcceptedCall {
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly callClass: CallClass;
  /** Section of the service in the document that was in force when the call arrived. */
  readonly section: Service;
  readonly arrivedAtMs: number;
  readonly targetAtMs: number;
  readonly deadlineAtMs: number;
  readonly origin: PendingCall['origin'];
  readonly originZone: string;
  readonly originRegion: string;
  readonly creditId?: string;
  /** Attempts made before the call was forwarded to this host. */
  readonly earlierAttempts: number;
  /** Ids of the backend servers and hosts that failed the call before it was forwarded to this host. */
  readonly excluded: readonly string[];
  /** Whether the call was already forwarded from one availability zone to another. */
  readonly crossedZones: boolean;
}

/** Receives an answer piece by piece. */
export interface AnswerSink {
  /** Receives the status and the end-to-end header fields; called once, first. */
  readonly start: (status: number, fields: readonly string[]) => void;
  /** Receives a chunk of the body; returns false to ask for a pause until the `onDrain` callback. */
  readonly write: (chunk: Buffer) => boolean;
  readonly onDrain: (resume: () => void) => void;
  /** Called at the end of a complete answer. */
  readonly end: () => void;
}

/** Result of one attempt. */
export interface AttemptResult {
  readonly outcome: CallOutcome;
  /** Refusal to send if no further attempt follows; absent after a complete answer. */
  readonly failure?: Failure;
  /** Whether the head of the answer was passed to the sink. */
  readonly answerStarted: boolean;
  /** Whether sending the request on a connection has started, after which a streamed body cannot be sent again. */
  readonly requestStarted: boolean;
  /** Id of the backend server that failed; another host reports it in its refusal. */
  readonly failedBackendId?: string;
}
