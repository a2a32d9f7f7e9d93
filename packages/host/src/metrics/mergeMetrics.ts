import {
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
} from 'hdr-histogram-js';

import { createHistogram, seriesKey, type MetricSeries } from './metrics.js';
import type { EncodedSeries } from './metricsSchema.js';

/**
 * Encodes series for another host. Histograms keep all buckets, so that quantiles of a merged
 * histogram are those of all observations together.
 *
 * @param series - series of a registry
 */
export function encodeSeries(series: readonly MetricSeries[]): EncodedSeries[] {
  return series.map((entry) => {
    const { name, labels } = entry;
    if (entry.type !== 'histogram') return { name, labels, type: entry.type, value: entry.value };
    const bucketsBase64 = encodeIntoCompressedBase64(entry.histogram);
    return { name, labels, type: entry.type, bucketsBase64 };
  });
}

function decodeHistogram(entry: EncodedSeries): Histogram {
  const histogram = createHistogram();
  if (entry.bucketsBase64 !== undefined) {
    histogram.add(decodeFromCompressedBase64(entry.bucketsBase64));
  }
  return histogram;
}

function decodeSeries(entry: EncodedSeries): MetricSeries {
  const { name, labels } = entry;
  if (entry.type === 'histogram') {
    return { name, labels, type: 'histogram', histogram: decodeHistogram(entry) };
  }
  return { name, labels, type: entry.type, value: entry.value ?? 0 };
}

function addSeries(into: MetricSeries, from: MetricSeries): MetricSeries {
  if (into.type === 'histogram') {
    if (from.type === 'histogram') into.histogram.add(from.histogram);
    return into;
  }
  if (from.type === 'histogram') return into;
  return { ...into, value: into.value + from.value };
}

/**
 * Merges the series of several hosts: counters and gauges are summed, histograms added by bucket.
 *
 * @param parts - encoded series of each host
 */
export function mergeSeries(parts: readonly (readonly EncodedSeries[])[]): MetricSeries[] {
  const merged = new Map<string, MetricSeries>();
  for (const part of parts) {
    for (const encoded of part) {
      const decoded = decodeSeries(encoded);
      const key = seriesKey(decoded.name, decoded.labels);
      const existing = merged.get(key);
      merged.set(key, existing === undefined ? decoded : addSeries(existing, decoded));
    }
  }
  return [...merged.values()];
}
