import type { ChangeSummary } from '@buckthornlug/core/changes/changes.js';

const msPerS = 1000;

/**
 * Formats the summary of a change as text.
 *
 * @param summary - sections and traffic that change
 */
export function formatChange(summary: ChangeSummary): string {
  if (summary.sections.length === 0) return 'Nothing changes.';
  const lines = ['Sections:'];
  for (const { section, change } of summary.sections)
    lines.push(`  ${change.padEnd(8)} ${section}`);
  if (summary.moves.length === 0) lines.push('No traffic moves.');
  else lines.push('Traffic, under the caps:');
  for (const move of summary.moves) {
    const kept = `keeps ${move.keptBeforePermille} -> ${move.keptAfterPermille} permille`;
    const time = `${move.steps} steps, at least ${move.shortestMs / msPerS} s`;
    lines.push(`  ${move.service} in ${move.region}: ${kept}, ${time}`);
  }
  return lines.join('\n');
}
