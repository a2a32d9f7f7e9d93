import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import { errAsync, type Result, type ResultAsync } from 'neverthrow';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { decodeRoutingUpdate } from './decodeRoutingUpdate.js';
import type { RoutingPoll, RoutingUpdate } from './routingPollSchema.js';

/** Polls control hosts for routing state. */

/** Text of the refusal of a control host of an earlier version, which knows polls for documents only. */
const unknownProcedureText = 'No procedure found';

/** Dependencies of `RoutingPoller`. */
export interface RoutingPollerParts {
  readonly context: Pick<HostContext, 'log' | 'metrics'>;
  readonly peers: Pick<HostParts['peers'], 'request'>;
}

/** Sends polls, and decodes their answers. */
export class RoutingPoller {
  /** Control hosts of an earlier version. */
  private readonly wholeDocumentSources = new Set<string>();

  constructor(private readonly parts: RoutingPollerParts) {}

  /** Polls a control host, which is asked for whole documents if it knows no changes. */
  poll(
    source: string,
    poll: RoutingPoll,
    timeLimitMs: number,
  ): ResultAsync<RoutingUpdate, Failure> {
    if (this.wholeDocumentSources.has(source)) return this.pollDocument(source, poll, timeLimitMs);
    return this.parts.peers
      .request(
        source,
        (client, signal) => client.routing.pollChanges.query(poll, { signal }),
        timeLimitMs,
      )
      .andThen((value) => this.decode(source, value))
      .orElse((problem): ResultAsync<RoutingUpdate, Failure> => {
        if (!problem.detail.includes(unknownProcedureText)) return errAsync(problem);
        this.wholeDocumentSources.add(source);
        return this.pollDocument(source, poll, timeLimitMs);
      });
  }

  private pollDocument(
    source: string,
    poll: RoutingPoll,
    timeLimitMs: number,
  ): ResultAsync<RoutingUpdate, Failure> {
    return this.parts.peers
      .request(source, (client, signal) => client.routing.poll.query(poll, { signal }), timeLimitMs)
      .andThen((value) => this.decode(source, value));
  }

  private decode(source: string, value: unknown): Result<RoutingUpdate, Failure> {
    const { log, metrics } = this.parts.context;
    return decodeRoutingUpdate(value).map(({ update, skippedRecords }) => {
      if (skippedRecords > 0) {
        log.warn('backendRecordsSkipped', { source, skippedRecords });
        metrics.count('backend_records_skipped_total');
      }
      return update;
    });
  }
}
