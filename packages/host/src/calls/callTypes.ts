import type { IncomingMessage, ServerResponse } from 'node:http';

import type { CallClass } from '@buckthornlug/core/table/tableTypes.js';
import type { Service } from '@buckthornlug/protocol/document/documentTypes.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { CallOutcome, PendingCall } from '@buckthornlug/protocol/steering/placementTypes.js';

/** A classified call with its connection to the caller or to the host that forwarded it. */
export interface AcceptedCall {
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly callClass: CallClass;
  /** Section of the service in force when the call came in. */
  readonly section: Service;
  readonly arrivedAtMs: number;
  readonly targetAtMs: number;
  readonly deadlineAtMs: number;
  readonly origin: PendingCall['origin'];
  readonly originZone: string;
  readonly originRegion: string;
  readonly creditId?: string;
  /** Dispatches before the call came here. */
  readonly earlierAttempts: number;
  /** Backend servers and hosts that failed the call before it came here. */
  readonly excluded: readonly string[];
  /** Whether the call has gone from one zone to another. */
  readonly crossedZones: boolean;
}

/** Takes an answer while it arrives. */
export interface AnswerSink {
  /** Takes status and end-to-end header fields; called once, first. */
  readonly start: (status: number, fields: readonly string[]) => void;
  /** Takes a piece of the body; false asks to pause until `onDrain` calls back. */
  readonly write: (chunk: Buffer) => boolean;
  readonly onDrain: (resume: () => void) => void;
  /** Takes the end of a whole answer. */
  readonly end: () => void;
}

/** How one attempt ended. */
export interface AttemptResult {
  readonly outcome: CallOutcome;
  /** Refusal to send where no further attempt follows; absent after a whole answer. */
  readonly failure?: Failure;
  /** Whether the sink has got the head of the answer. */
  readonly answerStarted: boolean;
  /** Whether the request was handed to a connection, so that its body is used up. */
  readonly requestStarted: boolean;
  /** Backend server that failed behind another host. */
  readonly failedBackendId?: string;
}
