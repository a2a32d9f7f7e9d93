import type { ZodError } from 'zod';

import type { Fault } from '../results/failure.js';

/**
 * Converts a schema error to faults with slash-separated paths.
 *
 * @param prefix - path of the checked value within a larger document
 */
export function faultsOf(error: ZodError, prefix = ''): Fault[] {
  return error.issues.map((issue) => ({
    path: [prefix, ...issue.path.map(String)].filter((part) => part !== '').join('/'),
    problem: issue.message,
  }));
}
