import { okAsync } from 'neverthrow';

import type { Feature } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { listOtherHosts } from '../runtime/listOtherHosts.js';
import { encodeSeries } from './mergeMetrics.js';
import { registerMetricsRoutes } from './metricsRoutes.js';
import type { HostMetrics } from './metricsSchema.js';

/** Sets the gauges for the memory usage of this process. */
function recordMemoryUsage(metrics: HostContext['metrics']): void {
  const { rss, heapUsed, external } = process.memoryUsage();
  metrics.gauge('process_resident_bytes', rss);
  metrics.gauge('process_heap_used_bytes', heapUsed);
  metrics.gauge('process_external_bytes', external);
}

/** Metrics of this host and, through the administration API, of all hosts. */
export const metricsFeature: Feature = {
  name: 'metrics',
  isEnabled: () => true,
  start: (context, parts) => {
    const read = (): HostMetrics => {
      recordMemoryUsage(context.metrics);
      return {
        hostId: context.settings.hostId,
        series: encodeSeries(context.metrics.series()),
      };
    };
    parts.rpcHandlers.metrics = { read };
    parts.adminRoutes.push((app) =>
      registerMetricsRoutes(app, {
        readLocal: read,
        otherHosts: () => listOtherHosts(parts.membership, context.settings),
        readRemote: (hostId) =>
          parts.peers.request(hostId, (client, signal) =>
            client.metrics.read.query(undefined, { signal }),
          ),
      }),
    );
    return okAsync({ name: 'metrics', stopSteps: {} });
  },
};
