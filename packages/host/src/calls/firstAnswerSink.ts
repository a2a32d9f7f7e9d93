import type { AnswerSink } from './callTypes.js';

/** Lets several attempts of a call share one sink: the first that starts an answer has it alone. */
export interface FirstAnswerSink {
  /**
   * Adds an attempt.
   *
   * @param onWon - told when the attempt is the first to start an answer
   * @returns sink of the attempt; it drops the answer of an attempt that came later
   */
  readonly addAttempt: (onWon: () => void) => AnswerSink;
  /** Whether an attempt has started an answer. */
  readonly hasAnswer: () => boolean;
}

/**
 * Creates a race for a sink.
 *
 * @param sink - sink of the call
 */
export function createFirstAnswerSink(sink: AnswerSink): FirstAnswerSink {
  let winner: AnswerSink | undefined;
  return {
    hasAnswer: () => winner !== undefined,
    addAttempt: (onWon) => {
      const attemptSink: AnswerSink = {
        start: (status, fields) => {
          if (winner !== undefined) return;
          winner = attemptSink;
          onWon();
          sink.start(status, fields);
        },
        write: (chunk) => (winner === attemptSink ? sink.write(chunk) : true),
        onDrain: (resume) => sink.onDrain(resume),
        end: () => {
          if (winner === attemptSink) sink.end();
        },
      };
      return attemptSink;
    },
  };
}
