import { write } from 'node:fs';

/** Writes lines to standard output without blocking on its reader. */

const standardOutput = 1;
/** Limit of the text buffered for the reader; further lines are dropped and counted. */
const maxWaitingChars = 256 * 1024;
/**
 * Minimum interval between two writes. A write goes through a thread of its own and costs a
 * fifteenth of a millisecond; writing each line of a call alone took a tenth of the CPU time of an
 * entry host. A process that is killed loses the lines of one interval.
 */
const writeIntervalMs = 100;

/** A buffered writer of lines. */
export interface LineWriter {
  readonly write: (line: string) => void;
  /** Lines dropped because the reader did not keep up or a write failed. */
  readonly dropped: () => number;
  /** Resolves when all lines are written, or after the timeout. */
  readonly flush: (timeoutMs: number) => Promise<void>;
}

/** Writes a text to a file descriptor and calls back with the error, if any. */
export type WriteText = (text: string, done: (error: NodeJS.ErrnoException | null) => void) => void;

const writeToStandardOutput: WriteText = (text, done) => {
  write(standardOutput, text, (error) => done(error));
};

/**
 * Creates a line writer. A line that follows a pause is written at once; lines that arrive while a
 * write is in flight or within the interval after its start are written together.
 *
 * @param writeText - writes to the file descriptor
 */
export function createLineWriter(writeText: WriteText = writeToStandardOutput): LineWriter {
  let isScheduled = false;
  let lastWriteAtMs = Number.NEGATIVE_INFINITY;
  let waiting = '';
  let waitingLines = 0;
  let isWriting = false;
  let isFlushing = false;
  let droppedLines = 0;
  let onEmpty: () => void = () => undefined;

  const schedule = (next: () => void): void => {
    if (isWriting || isScheduled) return;
    isScheduled = true;
    const pauseMs = lastWriteAtMs + writeIntervalMs - performance.now();
    if (pauseMs > 0 && !isFlushing) setTimeout(next, pauseMs);
    else setImmediate(next);
  };

  const writeNext = (): void => {
    isScheduled = false;
    if (isWriting) return;
    if (waiting === '') {
      onEmpty();
      return;
    }
    const text = waiting;
    const lines = waitingLines;
    waiting = '';
    waitingLines = 0;
    isWriting = true;
    lastWriteAtMs = performance.now();
    writeText(text, (error) => {
      isWriting = false;
      if (error !== null) droppedLines += lines;
      if (waiting !== '' || isFlushing) schedule(writeNext);
    });
  };

  return {
    write: (line) => {
      if (waiting.length + line.length > maxWaitingChars) {
        droppedLines += 1;
        return;
      }
      waiting += `${line}\n`;
      waitingLines += 1;
      schedule(writeNext);
    },
    dropped: () => droppedLines,
    flush: (timeoutMs) =>
      new Promise((resolve) => {
        isFlushing = true;
        const limit = setTimeout(resolve, timeoutMs);
        onEmpty = () => {
          clearTimeout(limit);
          resolve();
        };
        writeNext();
      }),
  };
}
