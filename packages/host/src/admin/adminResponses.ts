import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import { resultCodes } from '@buckthornlug/protocol/results/resultCodes.js';

/**
 * Builds the response of a failed administration request.
 *
 * @param problem - failure to report
 */
export function failureResponse(problem: Failure): Response {
  return Response.json({ failure: problem }, { status: resultCodes[problem.code].httpStatus });
}
