import type { Histogram } from 'hdr-histogram-js';

import type { Labels, MetricSeries } from './metrics.js';

const quantiles = [0.5, 0.9, 0.99, 0.999] as const;
const microsecondsPerMs = 1000;

function formatLabels(labels: Labels): string {
  const parts = Object.entries(labels).map(([name, value]) => {
    const escaped = value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');
    return `${name}="${escaped}"`;
  });
  return parts.length === 0 ? '' : `{${parts.join(',')}}`;
}

function histogramLines(name: string, labels: Labels, histogram: Histogram): string[] {
  const lines: string[] = [];
  for (const quantile of quantiles) {
    const valueMs = histogram.getValueAtPercentile(quantile * 100) / microsecondsPerMs;
    lines.push(`${name}${formatLabels({ ...labels, quantile: String(quantile) })} ${valueMs}`);
  }
  const sumMs = (histogram.mean * histogram.totalCount) / microsecondsPerMs;
  lines.push(`${name}_sum${formatLabels(labels)} ${histogram.totalCount === 0 ? 0 : sumMs}`);
  lines.push(`${name}_count${formatLabels(labels)} ${histogram.totalCount}`);
  return lines;
}

/**
 * Formats metrics in the Prometheus text format, version 0.0.4. Durations are summaries in
 * milliseconds.
 *
 * @param series - all series of a registry
 */
export function renderMetricsText(series: readonly MetricSeries[]): string {
  const lines: string[] = [];
  const declaredNames = new Set<string>();
  const sorted = [...series].sort((left, right) => (left.name < right.name ? -1 : 1));
  for (const entry of sorted) {
    if (!declaredNames.has(entry.name)) {
      const type = entry.type === 'histogram' ? 'summary' : entry.type;
      lines.push(`# TYPE ${entry.name} ${type}`);
      declaredNames.add(entry.name);
    }
    if (entry.type === 'histogram') {
      lines.push(...histogramLines(entry.name, entry.labels, entry.histogram));
    } else {
      lines.push(`${entry.name}${formatLabels(entry.labels)} ${entry.value}`);
    }
  }
  return `${lines.join('\n')}\n`;
}
