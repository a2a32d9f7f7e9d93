import { LinkAdmission } from '@buckthornlug/core/placement/linkAdmission.js';
import type { TrackedBackend } from '@buckthornlug/core/placement/trackedBackend.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';

import type { HostContext } from '../runtime/hostTypes.js';
import { addJitter } from './retryJitter.js';
import type { RoutedCall } from './routedCallsTypes.js';

/** Refuses a part of the calls while bytes wait long for the link of this host. */

/** Shortest retry delay; another host may take the call at once. */
const minRetryAfterMs = 300;
const fullSharePermille = 1000;

/** Measures the delay of the link on connections to backend servers, and admits calls by it. */
export class CongestionGate {
  private readonly admission = new LinkAdmission();

  constructor(
    private readonly context: Pick<HostContext, 'clock' | 'log' | 'metrics' | 'random'>,
  ) {}

  /** Records how long opening a connection took. */
  recordConnect({ distance }: Pick<TrackedBackend, 'distance'>, connectMs: number): void {
    this.admission.recordConnect(distance, connectMs, this.context.clock.nowMs());
  }

  /** Decides on a call that is about to be sent, or sent again; returns why it is refused. */
  refuse(call: RoutedCall): Failure | undefined {
    const { clock, log, metrics, random } = this.context;
    const { requestId, service, routeId, rank, leastUrgentRank } = call;
    const nowMs = clock.nowMs();
    const refusedShare = this.admission.refusedShareOf(rank, leastUrgentRank, nowMs);
    if (refusedShare === 0 || random() >= refusedShare) return undefined;
    const reason = 'linkCongested';
    const linkDelayMs = Math.round(this.admission.delayMs(nowMs));
    const refusedPermille = Math.round(refusedShare * fullSharePermille);
    metrics.count('routed_calls_turned_away_total', { service, reason });
    const fields = { requestId, service, routeId, rank, reason, linkDelayMs, refusedPermille };
    log.info('callTurnedAway', fields);
    const retryAfterMs = addJitter(Math.max(minRetryAfterMs, 2 * linkDelayMs), random);
    return failure('BL3002', 'the link of this host is congested', { retryAfterMs });
  }
}
