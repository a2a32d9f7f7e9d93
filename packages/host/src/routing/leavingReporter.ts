import type { LeavingBackend } from './routingPollSchema.js';
import { controlHostsByDistance } from './controlSources.js';
import type { HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';

/** Reports backend servers that announced their departure to the control hosts. */

/** Control hosts that are tried, the nearest first, before a report is dropped. */
const maxReportAttempts = 3;

/** Dependencies of `reportLeavingBackend`. */
export interface LeavingReporterParts {
  readonly context: Pick<HostContext, 'settings' | 'log'>;
  readonly parts: {
    readonly membership: Pick<HostParts['membership'], 'hosts'>;
    readonly peers: Pick<HostParts['peers'], 'request'>;
  };
}

/**
 * Reports a leaving backend server, so that all hosts stop using it. A report that gets lost is not
 * sent again: every host that the backend server answers reports it as well.
 */
export async function reportLeavingBackend(
  { context, parts }: LeavingReporterParts,
  leaving: LeavingBackend,
): Promise<void> {
  const sources = controlHostsByDistance(context.settings, parts.membership.hosts());
  for (const source of sources.slice(0, maxReportAttempts)) {
    // The next control host is tried only after this one has failed.
    const reported = await parts.peers.request(source, (client, signal) =>
      client.routing.leaving.mutate(leaving, { signal }),
    );
    if (reported.isOk()) return;
    const { code, detail } = reported.error;
    context.log.warn('leavingNotReported', { ...leaving, source, code, detail });
  }
}
