import type { Failure } from '@buckthornlug/protocol/results/failure.js';

/** A body broke its bounds after it was handed on. */
export class BodyError extends Error {
  readonly failure: Failure;

  constructor(problem: Failure) {
    super(problem.detail);
    this.failure = problem;
  }
}
