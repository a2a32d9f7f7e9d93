/** Header fields and paths shared by hosts, callers and backend servers. */

/**
 * Prefix of the paths on the callers' listener that the host serves itself instead of routing them.
 */
export const reservedPathPrefix = '/.well-known/buckthornlug/';
export const lookupPath = `${reservedPathPrefix}lookup`;
export const announcePath = `${reservedPathPrefix}announce`;
export const healthPath = `${reservedPathPrefix}health`;

/** Path prefix of remote procedures between hosts. */
export const procedurePathPrefix = '/rpc/';

/** Result code of a refusal. */
export const resultCodeHeader = 'x-buckthornlug-code';
/** Execution status that a refusal proves: `notRun`, `ran` or `unknown`. */
export const executionHeader = 'x-buckthornlug-execution';
/** ID of the call, the same on all hosts. */
export const requestIdHeader = 'x-buckthornlug-request';
/** Time until the deadline of the call in milliseconds; sent to hosts and backend servers. */
export const timeLeftHeader = 'x-buckthornlug-time-left-ms';
/** Hybrid logical clock of the sending host; sent between hosts. */
export const clockHeader = 'x-buckthornlug-clock';
/** Key of an announcing backend server, as `<key id>:<secret>`. */
export const announceKeyHeader = 'x-buckthornlug-key';
