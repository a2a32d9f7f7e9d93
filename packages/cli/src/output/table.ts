/**
 * Lays out rows of text in aligned columns.
 *
 * @param head - titles of the columns
 * @param rows - cells of each row
 */
export function formatTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const widths = head.map((title, column) =>
    Math.max(title.length, ...rows.map((row) => row[column]?.length ?? 0)),
  );
  const formatRow = (row: readonly string[]) =>
    row
      .map((cell, column) => cell.padEnd(widths[column] ?? 0))
      .join('  ')
      .trimEnd();
  return [head, ...rows].map(formatRow).join('\n');
}
