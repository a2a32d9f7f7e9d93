/** Options of every experiment. */
export interface BenchOptions {
  readonly seed: number;
  readonly durationS: number;
  /** Tells of the progress of a long run. */
  readonly progress: (text: string) => void;
}

/** One measured value with its unit in the name, such as `addedP99Ms`. */
export type Figures = Readonly<Record<string, number | string | boolean>>;

/** A row of the report: one condition and what was measured under it. */
export interface ReportRow {
  readonly condition: string;
  readonly figures: Figures;
}

/** A bound that the experiment checks. */
export interface ReportBound {
  readonly name: string;
  readonly bound: number;
  readonly measured: number;
  readonly isHeld: boolean;
}

/** Result of an experiment. */
export interface BenchReport {
  readonly experiment: string;
  readonly seed: number;
  readonly rows: readonly ReportRow[];
  readonly bounds: readonly ReportBound[];
}

/** An experiment that `npm run bench -- <name>` runs. */
export interface Experiment {
  readonly name: string;
  readonly describe: string;
  readonly run: (options: BenchOptions) => Promise<BenchReport>;
}

/**
 * Checks a measured value against an upper bound.
 *
 * @param name - name of the bound, with its unit
 * @param measured - measured value
 * @param bound - largest allowed value
 */
export function atMost(name: string, measured: number, bound: number): ReportBound {
  return { name, bound, measured, isHeld: measured <= bound };
}

/**
 * Checks a measured value against a lower bound.
 *
 * @param name - name of the bound, with its unit
 * @param measured - measured value
 * @param bound - smallest allowed value
 */
export function atLeast(name: string, measured: number, bound: number): ReportBound {
  return { name, bound, measured, isHeld: measured >= bound };
}
