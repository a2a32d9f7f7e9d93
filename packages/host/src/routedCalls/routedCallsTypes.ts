import type { IncomingMessage, ServerResponse } from 'node:http';

import type { PlaceableCall } from '@buckthornlug/core/placement/placementTypes.js';
import type { Route } from '@buckthornlug/protocol/routing/routingSchema.js';
import type { CallSignal } from '@buckthornlug/protocol/steering/callSignal.js';

/** An accepted call with its route. */
export interface RoutedCall extends PlaceableCall {
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly route: Route;
  readonly routingVersion: number;
  /** Highest rank of all routes. */
  readonly leastUrgentRank: number;
  readonly arrivedAtMs: number;
  /** Time until which the caller waits for an answer. */
  readonly callerDeadlineAtMs: number;
  readonly tried: Set<string>;
  /** Whether the caller has closed its connection. */
  readonly hasCallerLeft: () => boolean;
  /** Aborted when the caller hangs up or the time limit has passed. */
  readonly signal: CallSignal;
}
