import type { ZodError } from 'zod';

import type { Fault } from '../results/failure.js';

/**
 * Turns a schema error into faults with slash-separated paths.
 *
 * @param error - error of a zod schema
 * @param prefix - path of the checked value inside a larger one
 */
export function faultsOf(error: ZodError, prefix = ''): Fault[] {
  return error.issues.map((issue) => ({
    path: [prefix, ...issue.path.map(String)].filter((part) => part !== '').join('/'),
    problem: issue.message,
  }));
}
