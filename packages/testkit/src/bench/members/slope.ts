/** A straight line through measured points. */
export interface Line {
  readonly slope: number;
  readonly intercept: number;
}

/**
 * Fits a line by least squares.
 *
 * @param points - pairs of the varied size and the measured value
 */
export function fitLine(points: readonly (readonly [number, number])[]): Line {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const spread = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const product = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const slope = spread === 0 ? 0 : product / spread;
  return { slope, intercept: meanY - slope * meanX };
}

/** Middle value of a list. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor(sorted.length / 2)] ?? NaN;
}
