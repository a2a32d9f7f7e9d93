/** Load reports of backend servers, which come with their answers. */

/** Bounds of the work time factor; a value beyond them counts as the nearest bound. */
const minWorkTimeFactor = 0.1;
const maxWorkTimeFactor = 10;
const usualWorkTimePercent = 100;
/** Most running calls, waiting calls or slots that a report can name; no backend server has as many. */
const maxFigure = 100_000;
/** A figure in decimal notation; a garbled one may have any number of digits. */
const figurePattern = /^\d+(?:\.\d+)?$/;

/** Load that a backend server reported with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes there at the moment, as a factor on the usual time; absent if not reported. */
  readonly workTimeFactor?: number;
}

/**
 * Parses `running,waiting,slots` or `running,waiting,slots,workTimePercent`.
 *
 * @param text - value of the header field
 * @returns the report, or undefined if a figure is missing, no decimal number, or beyond `maxFigure`
 */
export function parseReportedLoad(text: string | undefined): ReportedLoad | undefined {
  if (text === undefined) return undefined;
  const figures = text.split(',').map((figure) => figure.trim());
  if (!figures.every((figure) => figurePattern.test(figure))) return undefined;
  const [running, waiting, slots, workTimePercent] = figures.map(Number);
  if (running === undefined || waiting === undefined || slots === undefined) return undefined;
  if (Math.max(running, waiting, slots) > maxFigure) return undefined;
  if (workTimePercent === undefined) return { running, waiting, slots };
  const factor = workTimePercent / usualWorkTimePercent;
  const workTimeFactor = Math.min(maxWorkTimeFactor, Math.max(minWorkTimeFactor, factor));
  return { running, waiting, slots, workTimeFactor };
}
