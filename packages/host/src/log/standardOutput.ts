import { write } from 'node:fs';

/** Writes lines to standard output without blocking on its reader. */

const standardOutputFd = 1;
/** Limit of the text buffered for the reader; further lines are dropped and counted. */
const maxBufferedChars = 256 * 1024;
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
  write(standardOutputFd, text, (error) => done(error));
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
  let buffered = '';
  let bufferedLines = 0;
  let isWriting = false;
  let isFlushing = false;
  let droppedLines = 0;
  let onDrained: () => void = () => undefined;

  const scheduleWrite = (next: () => void): void => {
    if (isWriting || isScheduled) return;
    isScheduled = true;
    const delayMs = lastWriteAtMs + writeIntervalMs - performance.now();
    if (delayMs > 0 && !isFlushing) setTimeout(next, delayMs);
    else setImmediate(next);
  };

  const writeNext = (): void => {
    isScheduled = false;
    if (isWriting) return;
    if (buffered === '') {
      onDrained();
      return;
    }
    const text = buffered;
    const lines = bufferedLines;
    buffered = '';
    bufferedLines = 0;
    isWriting = true;
    lastWriteAtMs = performance.now();
    writeText(text, (error) => {
      isWriting = false;
      if (error !== null) droppedLines += lines;
      if (buffered !== '' || isFlushing) scheduleWrite(writeNext);
    });
  };

  return {
    write: (line) => {
      if (buffered.length + line.length > maxBufferedChars) {
        droppedLines += 1;
        return;
      }
      buffered += `${line}\n`;
      bufferedLines += 1;
      scheduleWrite(writeNext);
    },
    dropped: () => droppedLines,
    flush: (timeoutMs) =>
      new Promise((resolve) => {
        isFlushing = true;
        const limit = setTimeout(resolve, timeoutMs);
        onDrained = () => {
          clearTimeout(limit);
          resolve();
        };
        writeNext();
      }),
  };
}
