import bunyan from 'bunyan';
import logfmt from 'logfmt';

import { EventRateLimiter } from './eventRateLimiter.js';

/** Fields of a log line; their names include the unit. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes one line of key=value pairs for each event. */
export interface Log {
  readonly debug: (event: string, fields?: LogFields) => void;
  readonly info: (event: string, fields?: LogFields) => void;
  readonly warn: (event: string, fields?: LogFields) => void;
  readonly error: (event: string, fields?: LogFields) => void;
}

const hiddenFields = new Set(['v', 'pid', 'hostname', 'name', 'level', 'time', 'msg']);

/** Turns a bunyan record into one line of key=value pairs. */
function formatRecord(record: Record<string, unknown>): string {
  const line: Record<string, unknown> = {
    time: (record.time as Date).toISOString(),
    level: bunyan.nameFromLevel[record.level as number],
    event: record.msg,
  };
  for (const [key, value] of Object.entries(record)) {
    if (!hiddenFields.has(key) && value !== undefined) line[key] = value;
  }
  return logfmt.stringify(line);
}

/** Limits on the volume of a log. */
export interface LogBounds {
  /** Maximum number of lines per event in one second. */
  readonly linesPerS: number;
  /** Monotonic time in milliseconds. */
  readonly nowMs: () => number;
}

/** Event that reports how many lines of another event were suppressed. */
const suppressedLinesEvent = 'linesLeftOut';

/**
 * Creates the log of a process.
 *
 * @param hostId - host that each line names
 * @param level - lowest level that is written
 * @param write - called with each line, without a line terminator
 * @param bounds - limits on the volume; unlimited if absent
 */
export function createLog(
  hostId: string,
  level: 'debug' | 'info' | 'warn' | 'error',
  write: (line: string) => void,
  bounds?: LogBounds,
): Log {
  const stream = {
    write: (record: Record<string, unknown>) => write(formatRecord(record)),
  } as unknown as NodeJS.WritableStream;
  const logger = bunyan.createLogger({
    name: 'buckthornlug',
    hostId,
    streams: [{ type: 'raw', level, stream }],
  });
  const rateLimiter =
    bounds &&
    new EventRateLimiter(bounds.linesPerS, (event, lines) => {
      logger.warn({ leftOut: event, lines }, suppressedLinesEvent);
    });
  const createLevelWriter =
    (lineLevel: 'debug' | 'info' | 'warn' | 'error') =>
    (event: string, fields: LogFields = {}): void => {
      if (logger.levels(0) > bunyan.resolveLevel(lineLevel)) return;
      if (
        rateLimiter !== undefined &&
        bounds !== undefined &&
        !rateLimiter.tryAcquire(event, bounds.nowMs())
      ) {
        return;
      }
      logger[lineLevel]({ ...fields }, event);
    };
  return {
    debug: createLevelWriter('debug'),
    info: createLevelWriter('info'),
    warn: createLevelWriter('warn'),
    error: createLevelWriter('error'),
  };
}
