import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Hono } from 'hono';
import type { ResultAsync } from 'neverthrow';

import { mergeSeries } from './mergeMetrics.js';
import type { HostMetrics } from './metricsSchema.js';
import { renderMetricsText } from './metricsText.js';

/** Sources of the metrics that the routes return. */
export interface MetricsSources {
  readonly readLocal: () => HostMetrics;
  readonly otherHosts: () => readonly string[];
  readonly readRemote: (hostId: string) => ResultAsync<HostMetrics, Failure>;
}

const prometheusTextHeaders = { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' };

/**
 * Registers `/metrics` for this host and `/metrics/all` for all hosts that answer.
 *
 * @param app - application of the admin listener
 * @param sources - local metrics and access to other hosts
 */
export function registerMetricsRoutes(app: Hono, sources: MetricsSources): void {
  app.get('/metrics', (context) => {
    const series = mergeSeries([sources.readLocal().series]);
    return context.body(renderMetricsText(series), 200, prometheusTextHeaders);
  });
  app.get('/metrics/all', async (context) => {
    const answers = await Promise.all(sources.otherHosts().map(sources.readRemote));
    const parts = [sources.readLocal().series];
    for (const answer of answers) if (answer.isOk()) parts.push(answer.value.series);
    return context.body(renderMetricsText(mergeSeries(parts)), 200, prometheusTextHeaders);
  });
}
