import { build, type Histogram } from 'hdr-histogram-js';

/** Labels of a metric, such as service, kind and rank. */
export type Labels = Readonly<Record<string, string>>;

/** Counters, gauges and latency histograms of a process. */
export interface MetricsRegistry {
  /** Adds to a counter. */
  readonly count: (name: string, labels?: Labels, by?: number) => void;
  /** Sets a gauge. */
  readonly gauge: (name: string, value: number, labels?: Labels) => void;
  /** Records a duration in milliseconds. */
  readonly observeMs: (name: string, durationMs: number, labels?: Labels) => void;
  /** Everything recorded so far. */
  readonly series: () => readonly MetricSeries[];
}

/** One series of a metric. */
export type MetricSeries = { readonly name: string; readonly labels: Labels } & (
  | { readonly type: 'counter' | 'gauge'; readonly value: number }
  | { readonly type: 'histogram'; readonly histogram: Histogram }
);

/** Longest duration that a histogram records; longer ones are counted as this one. */
const highestTrackableUs = 120_000_000;
const significantDigits = 3;

/**
 * Identifies a series by its name and labels.
 *
 * @param name - name of the metric
 * @param labels - labels in a fixed order
 */
export function seriesKey(name: string, labels: Labels): string {
  let key = name;
  for (const [label, value] of Object.entries(labels)) key += `|${label}=${value}`;
  return key;
}

/** Creates an empty histogram of microseconds. */
export function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: highestTrackableUs,
    numberOfSignificantValueDigits: significantDigits,
  });
}

const noLabels: Labels = {};

/** Caches values by identity of the label object and by name, to build the key of a series once. */
function memoizeByLabels<Value>(find: (name: string, labels: Labels) => Value) {
  const valuesByLabels = new WeakMap<Labels, Map<string, Value>>();
  return (name: string, labels: Labels): Value => {
    let valuesByName = valuesByLabels.get(labels);
    if (valuesByName === undefined) {
      valuesByName = new Map();
      valuesByLabels.set(labels, valuesByName);
    }
    const cached = valuesByName.get(name);
    if (cached !== undefined) return cached;
    const found = find(name, labels);
    valuesByName.set(name, found);
    return found;
  };
}

/** Creates an empty registry. */
export function createMetrics(): MetricsRegistry {
  const scalars = new Map<
    string,
    { name: string; labels: Labels; type: 'counter' | 'gauge'; value: number }
  >();
  const histograms = new Map<string, { name: string; labels: Labels; histogram: Histogram }>();

  const getOrCreateScalar = (type: 'counter' | 'gauge', name: string, labels: Labels) => {
    const key = seriesKey(name, labels);
    const known = scalars.get(key);
    if (known !== undefined) return known;
    const created = { name, labels, type, value: 0 };
    scalars.set(key, created);
    return created;
  };

  const getOrCreateHistogram = (name: string, labels: Labels): Histogram => {
    const key = seriesKey(name, labels);
    const known = histograms.get(key);
    if (known !== undefined) return known.histogram;
    const histogram = createHistogram();
    histograms.set(key, { name, labels, histogram });
    return histogram;
  };

  const getCounter = memoizeByLabels((name, labels) => getOrCreateScalar('counter', name, labels));
  const getGauge = memoizeByLabels((name, labels) => getOrCreateScalar('gauge', name, labels));
  const getHistogram = memoizeByLabels(getOrCreateHistogram);

  return {
    count: (name, labels = noLabels, by = 1) => {
      getCounter(name, labels).value += by;
    },
    gauge: (name, value, labels = noLabels) => {
      getGauge(name, labels).value = value;
    },
    observeMs: (name, durationMs, labels = noLabels) => {
      const durationUs = Math.min(highestTrackableUs, Math.max(1, Math.round(durationMs * 1000)));
      getHistogram(name, labels).recordValue(durationUs);
    },
    series: () => [
      ...scalars.values(),
      ...[...histograms.values()].map((entry) => ({ ...entry, type: 'histogram' as const })),
    ],
  };
}
