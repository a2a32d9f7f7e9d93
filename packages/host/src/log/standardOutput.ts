import { write } from 'node:fs';

/** Writes lines to standard output without ever waiting for its reader. */

const standardOutput = 1;
/** Text that waits for the reader; more is dropped and counted. */
const maxWaitingChars = 256 * 1024;

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
 * Creates a writer. One write is under way at a time; lines that come meanwhile go out together.
 *
 * @param writeText - writes to the file descriptor
 */
export function createLineWriter(writeText: WriteText = writeToStandardOutput): LineWriter {
  let waiting = '';
  let waitingLines = 0;
  let isWriting = false;
  let droppedLines = 0;
  let onEmpty: () => void = () => undefined;

  const writeNext = (): void => {
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
    writeText(text, (error) => {
      isWriting = false;
      if (error !== null) droppedLines += lines;
      writeNext();
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
      setImmediate(writeNext);
    },
    dropped: () => droppedLines,
    flush: (timeoutMs) =>
      new Promise((resolve) => {
        const timer = setTimeout(resolve, timeoutMs);
        onEmpty = () => {
          clearTimeout(timer);
          resolve();
        };
        writeNext();
      }),
  };
}
