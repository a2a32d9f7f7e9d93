import test from 'ava';

import { encodeSeries, mergeSeries } from './mergeMetrics.js';
import { createMetrics } from './metrics.js';
import { renderMetricsText } from './metricsText.js';

const labels = { service: 'parts-desk', rank: 'urgent' };

test('quantiles of merged histograms are those of all observations together', (t) => {
  const first = createMetrics();
  const second = createMetrics();
  for (let index = 0; index < 990; index += 1) first.observeMs('call_ms', 10, labels);
  for (let index = 0; index < 10; index += 1) second.observeMs('call_ms', 500, labels);
  const merged = mergeSeries([encodeSeries(first.series()), encodeSeries(second.series())]);
  const series = merged[0];
  t.is(series?.type, 'histogram');
  if (series?.type !== 'histogram') return;
  t.is(series.histogram.totalCount, 1000);
  t.true(Math.abs(series.histogram.getValueAtPercentile(99.5) - 500_000) < 1000);
});

test('the text format names each type once and escapes labels', (t) => {
  const metrics = createMetrics();
  metrics.count('refused_total', { code: 'BL3002' }, 3);
  metrics.count('refused_total', { code: 'a"b' });
  metrics.gauge('free_slots', 4, labels);
  metrics.observeMs('call_ms', 8, labels);
  t.snapshot(renderMetricsText(metrics.series()));
});
