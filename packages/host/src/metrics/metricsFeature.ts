import { okAsync } from 'neverthrow';

import type { Feature } from '../runtime/hostParts.js';
import { otherLiveHosts } from '../runtime/otherLiveHosts.js';
import { encodeSeries } from './mergeMetrics.js';
import { registerMetricsRoutes } from './metricsRoutes.js';
import type { MetricsPart } from './metricsSchema.js';

/** Metrics of this host and, through the administration API, of all hosts. */
export const metricsFeature: Feature = {
  name: 'metrics',
  wanted: () => true,
  start: (context, parts) => {
    const read = (): MetricsPart => ({
      hostId: context.settings.hostId,
      series: encodeSeries(context.metrics.series()),
    });
    parts.rpcHandlers.metrics = { read };
    parts.adminRoutes.push((app) =>
      registerMetricsRoutes(app, {
        readLocal: read,
        otherHosts: () => otherLiveHosts(parts.membership, context.settings),
        readRemote: (hostId) =>
          parts.peers.request(hostId, (client, signal) =>
            client.metrics.read.query(undefined, { signal }),
          ),
      }),
    );
    return okAsync({ name: 'metrics', stopSteps: {} });
  },
};
