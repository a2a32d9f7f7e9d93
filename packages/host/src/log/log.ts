import bunyan from 'bunyan';
import logfmt from 'logfmt';

/** Fields of a log line; units stand in the names. */
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

/**
 * Creates the log of a process.
 *
 * @param hostId - host that the lines speak of
 * @param level - lowest level that is written
 * @param write - takes each line, without its line end
 */
export function createLog(
  hostId: string,
  level: 'debug' | 'info' | 'warn' | 'error',
  write: (line: string) => void,
): Log {
  const stream = {
    write: (record: Record<string, unknown>) => write(formatRecord(record)),
  } as unknown as NodeJS.WritableStream;
  const logger = bunyan.createLogger({
    name: 'buckthornlug',
    hostId,
    streams: [{ type: 'raw', level, stream }],
  });
  return {
    debug: (event, fields = {}) => logger.debug({ ...fields }, event),
    info: (event, fields = {}) => logger.info({ ...fields }, event),
    warn: (event, fields = {}) => logger.warn({ ...fields }, event),
    error: (event, fields = {}) => logger.error({ ...fields }, event),
  };
}
