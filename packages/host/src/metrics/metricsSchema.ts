import { z } from 'zod';

/** A series as sent between hosts; a histogram carries its buckets as compressed base64. */
export const encodedSeriesSchema = z.strictObject({
  name: z.string(),
  labels: z.record(z.string(), z.string()),
  type: z.enum(['counter', 'gauge', 'histogram']),
  value: z.number().optional(),
  bucketsBase64: z.string().optional(),
});

export const hostMetricsSchema = z.strictObject({
  hostId: z.string(),
  series: z.array(encodedSeriesSchema),
});

export type EncodedSeries = z.infer<typeof encodedSeriesSchema>;
export type HostMetrics = z.infer<typeof hostMetricsSchema>;
