/* eslint no-param-reassign: ['error', { props: false }] */
import type { ConsensusOptions, LogEntry, Members, Snapshot } from './consensusTypes.js';

/** The part of the log that a replica holds in memory. */

/** `entries` begins after `baseIndex`; the snapshot covers at least all up to `baseIndex`. */
export interface LogState {
  snapshot: Snapshot;
  baseIndex: number;
  baseTerm: number;
  entries: LogEntry[];
}

/** Creates the log from a snapshot and the entries after it. */
export function createLogState(snapshot: Snapshot, entries: readonly LogEntry[]): LogState {
  return {
    snapshot,
    baseIndex: snapshot.index,
    baseTerm: snapshot.term,
    entries: [...entries],
  };
}

/** Index of the last entry. */
export function lastIndexOf(log: LogState): number {
  return log.baseIndex + log.entries.length;
}

/** Entry at an index, or undefined if it is not in memory. */
export function entryAt(log: LogState, index: number): LogEntry | undefined {
  return log.entries[index - log.baseIndex - 1];
}

/** Term of the entry at an index, or undefined if it is not known. */
export function termAt(log: LogState, index: number): number | undefined {
  if (index === log.baseIndex) return log.baseTerm;
  return entryAt(log, index)?.term;
}

/** Term of the last entry. */
export function lastTermOf(log: LogState): number {
  return termAt(log, lastIndexOf(log)) ?? 0;
}

/** Approximate encoded size of an entry, to limit the size of messages. */
function entryBytes(entry: LogEntry): number {
  return entry.body.kind === 'command' ? entry.body.data.byteLength + 16 : 64;
}

/** Approximate encoded size of the entries in memory, from an index on. */
export function logBytes(log: LogState, fromIndex = log.baseIndex + 1): number {
  let bytes = 0;
  for (let index = fromIndex; index <= lastIndexOf(log); index += 1) {
    const entry = entryAt(log, index);
    if (entry !== undefined) bytes += entryBytes(entry);
  }
  return bytes;
}

/** Entries from an index on, as many as the limits allow but at least one. */
export function entriesFrom(
  log: LogState,
  fromIndex: number,
  maxEntries: number,
  maxBytes: number,
): LogEntry[] {
  const taken: LogEntry[] = [];
  let bytes = 0;
  for (let index = fromIndex; index <= lastIndexOf(log); index += 1) {
    const entry = entryAt(log, index);
    if (entry === undefined || taken.length >= maxEntries) break;
    bytes += entryBytes(entry);
    if (taken.length > 0 && bytes > maxBytes) break;
    taken.push(entry);
  }
  return taken;
}

/** Members in effect at an index, with the index of the entry or snapshot that set them. */
export function latestMembers(
  log: LogState,
  upToIndex: number,
): { members: Members; index: number } {
  for (let index = upToIndex; index > log.baseIndex; index -= 1) {
    const entry = entryAt(log, index);
    if (entry?.body.kind === 'members') return { members: entry.body.members, index };
  }
  return { members: log.snapshot.members, index: log.snapshot.index };
}

/** Removes the entries from an index on. */
export function truncateFrom(log: LogState, fromIndex: number): void {
  log.entries.length = Math.max(0, fromIndex - log.baseIndex - 1);
}

/** Limits of the entries that are kept behind a snapshot. */
export type RetainedLog = Pick<ConsensusOptions, 'retainedEntries' | 'retainedBytes'>;

/** Index from which on the newest entries that a snapshot covers keep within the limits, exclusive. */
function retainedBaseIndex(
  log: LogState,
  snapshotIndex: number,
  { retainedEntries, retainedBytes }: RetainedLog,
): number {
  const lowestIndex = Math.max(log.baseIndex, snapshotIndex - retainedEntries);
  let bytes = 0;
  for (let index = snapshotIndex; index > lowestIndex; index -= 1) {
    const entry = entryAt(log, index);
    bytes += entry === undefined ? 0 : entryBytes(entry);
    if (bytes > retainedBytes) return index;
  }
  return lowestIndex;
}

/** Stores a new snapshot and drops the entries it covers, except the newest ones within the limits. */
export function compactLog(log: LogState, snapshot: Snapshot, retained: RetainedLog): void {
  log.snapshot = snapshot;
  const newBaseIndex = retainedBaseIndex(log, snapshot.index, retained);
  const baseTerm = termAt(log, newBaseIndex);
  if (baseTerm === undefined) return;
  log.entries = log.entries.slice(newBaseIndex - log.baseIndex);
  log.baseIndex = newBaseIndex;
  log.baseTerm = baseTerm;
}

/** Replaces the whole log with a snapshot. */
export function resetLog(log: LogState, snapshot: Snapshot): void {
  log.snapshot = snapshot;
  log.baseIndex = snapshot.index;
  log.baseTerm = snapshot.term;
  log.entries = [];
}
