import type { AnswerSink } from './callTypes.js';

/** Lets several attempts of a call share one sink: only the first one to start an answer writes to it. */
export interface FirstAnswerSink {
  /**
   * Adds an attempt.
   *
   * @param onWon - called when the attempt is the first to start an answer
   * @returns sink of the attempt; it discards the answer if another attempt was first
   */
  readonly addAttempt: (onWon: () => void) => AnswerSink;
  /** Whether an attempt has started an answer. */
  readonly hasAnswer: () => boolean;
}

/** Shares the sink of a call between its attempts. */
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
