/** Header fields and paths that the processes and their neighbours agree on. */

/** Prefix of the paths that a host answers itself on the callers' listener. */
export const reservedPathPrefix = '/.well-known/buckthornlug/';
export const lookupPath = `${reservedPathPrefix}lookup`;
export const announcePath = `${reservedPathPrefix}announce`;
export const healthPath = `${reservedPathPrefix}health`;

/** Prefix of the paths of procedures between hosts. */
export const procedurePathPrefix = '/rpc/';

/** Numbered result code of a refusal. */
export const resultCodeHeader = 'x-buckthornlug-code';
/** What a refusal proves: `notRun`, `ran` or `unknown`. */
export const executionHeader = 'x-buckthornlug-execution';
/** Identity of the call over all hosts. */
export const requestIdHeader = 'x-buckthornlug-request';
/** Time left for the call in milliseconds, towards hosts and backend servers. */
export const timeLeftHeader = 'x-buckthornlug-time-left-ms';
/** Reading of the sender's hybrid clock, between hosts. */
export const clockHeader = 'x-buckthornlug-clock';
/** Key of an announcing backend server, as `<key id>:<secret>`. */
export const announceKeyHeader = 'x-buckthornlug-key';
