import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import { resultCodes } from '@buckthornlug/protocol/results/resultCodes.js';

/**
 * Formats a failure as text: code, meaning, detail, each fault, and what to do.
 *
 * @param problem - failure
 */
export function formatFailure(problem: Failure): string {
  const row = resultCodes[problem.code];
  const lines = [`${problem.code}: ${row.meaning}`, `  ${problem.detail}`];
  for (const fault of problem.faults ?? []) lines.push(`  ${fault.path}: ${fault.problem}`);
  lines.push(`  ${row.action}`);
  return lines.join('\n');
}
