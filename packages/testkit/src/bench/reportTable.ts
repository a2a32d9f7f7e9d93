import type { BenchReport, ReportBound, ReportRow } from './benchTypes.js';

const maxDecimals = 3;

function formatValue(value: number | string | boolean): string {
  if (typeof value !== 'number' || Number.isInteger(value)) return String(value);
  return value.toFixed(maxDecimals);
}

function formatTable(cells: readonly (readonly string[])[]): string {
  const widths: number[] = [];
  for (const row of cells) {
    for (const [column, cell] of row.entries()) {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    }
  }
  const lines = cells.map((row) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd(),
  );
  return `${lines.join('\n')}\n`;
}

function rowCells(rows: readonly ReportRow[]): string[][] {
  const names = [...new Set(rows.flatMap((row) => Object.keys(row.figures)))];
  const body = rows.map((row) => [
    row.condition,
    ...names.map((name) => formatValue(row.figures[name] ?? '')),
  ]);
  return [['condition', ...names], ...body];
}

function boundCells(bounds: readonly ReportBound[]): string[][] {
  const body = bounds.map((bound) => [
    bound.name,
    formatValue(bound.measured),
    formatValue(bound.bound),
    bound.isHeld ? 'held' : 'MISSED',
  ]);
  return [['bound', 'measured', 'allowed', 'verdict'], ...body];
}

/**
 * Writes a report as readable tables.
 *
 * @param report - result of an experiment
 */
export function formatReport(report: BenchReport): string {
  const head = `${report.experiment}, seed ${report.seed}\n\n`;
  const rows = formatTable(rowCells(report.rows));
  if (report.bounds.length === 0) return head + rows;
  return `${head}${rows}\n${formatTable(boundCells(report.bounds))}`;
}
