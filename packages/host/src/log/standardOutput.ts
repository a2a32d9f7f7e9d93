import { write } from 'node:fs';

/** Writes lines to standard output without ever waiting for its reader. */

const standardOutput = 1;
/** Text that waits for the reader; more is dropped and counted. */
const maxWaitingChars = 256 * 1024;
/**
 * Interval between two writes. Each write goes through a thread of its own and costs a fifteenth of a
 * millisecond, a tenth of an entry host's processor time when each line of a call went out alone; a
 * process that is killed takes the lines of so long with it.
 */
const writeIntervalMs = 100;

/** A writer of lines. */
export interface LineWriter {
  readonly write: (line: string) => void;
  /** Lines dropped because the reader did not keep up. */
  readonly dropped: () => number;
  /** Resolves when all lines are written, or after the time given. */
  readonly flush: (timeoutMs: number) => Promise<void>;
}

/** Writes a text to a file descriptor and calls back with the error, if any. */
export type WriteText = (text: string, done: (error: NodeJS.ErrnoException | null) => void) => void;

const writeToStandardOutput: WriteText = (text, done) => {
  write(standardOutput, text, (error) => done(error));
};

/**
 * Creates a writer. A line goes out at once after a pause; lines that come while a write is under way or
 * soon after it go out together.
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
