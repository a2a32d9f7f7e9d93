import type { AnswerSink } from './callTypes.js';

/** Lets several attempts of a call share one sink: the first that starts an answer has it alone. */
export interface SinkRace {
  /**
   * Adds an attempt.
   *
   * @param onWon - told when the attempt is the first to start an answer
   * @returns sink of the attempt; it drops the answer of an attempt that came later
   */
  readonly enter: (onWon: () => void) => AnswerSink;
  /** Whether an attempt has started an answer. */
  readonly isWon: () => boolean;
}

/**
 * Creates a race for a sink.
 *
 * @param sink - sink of the call
 */
export function createSinkRace(sink: AnswerSink): SinkRace {
  let winner: AnswerSink | undefined;
  return {
    isWon: () => winner !== undefined,
    enter: (onWon) => {
      const entered: AnswerSink = {
        start: (status, fields) => {
          if (winner !== undefined) return;
          winner = entered;
          onWon();
          sink.start(status, fields);
        },
        write: (chunk) => (winner === entered ? sink.write(chunk) : true),
        onDrain: (resume) => sink.onDrain(resume),
        end: () => {
          if (winner === entered) sink.end();
        },
      };
      return entered;
    },
  };
}
