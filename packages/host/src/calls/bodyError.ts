import type { Failure } from '@buckthornlug/protocol/results/failure.js';

/** A streamed body exceeded a limit or broke off after the request was dispatched. */
export class BodyError extends Error {
  readonly failure: Failure;

  constructor(problem: Failure) {
    super(problem.detail);
    this.failure = problem;
  }
}
