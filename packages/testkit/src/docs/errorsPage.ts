import { resultCodes } from '@buckthornlug/protocol/results/resultCodes.js';

/** Renders docs/ERRORS.md from the table of result codes. */
export function renderErrorsPage(): string {
  const lines = [
    '# Result codes',
    '',
    'Generated from `packages/protocol/src/results/resultCodes.ts` by `npm run docs`.',
    '',
    'A refusal carries its code in `x-buckthornlug-code`, what it proves about the execution in',
    '`x-buckthornlug-execution` (`notRun`, `ran` or `unknown`), and a retry time in `retry-after`.',
    '',
    'The column tells what the refused call did. For work with an identity the header speaks of the work: a refusal',
    'that was given before the ledger could tell the state of the identity says `unknown` in place of `notRun`, since',
    'an earlier call may have run. Send it again with the same identity.',
    '',
    '| code | status | execution | meaning | action |',
    '| --- | --- | --- | --- | --- |',
  ];
  for (const [code, row] of Object.entries(resultCodes)) {
    const truth = 'executionStatus' in row ? row.executionStatus : '';
    lines.push(`| ${code} | ${row.httpStatus} | ${truth} | ${row.meaning} | ${row.action} |`);
  }
  return `${lines.join('\n')}\n`;
}
