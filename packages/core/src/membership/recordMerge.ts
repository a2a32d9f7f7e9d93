import { maxFailureReportAgeMs, minSuspicionMs } from './membershipLimits.js';
import type { HeldVersions, MemberEntry, MemberRecord } from './membershipTypes.js';
import { compareStamps, isRefutable } from './memberStamp.js';

/** How a received record changes the entry of its host. */
export type MergeDecision =
  | { readonly decision: 'ignore' }
  /** The process is unknown and the record lacks its identity. */
  | { readonly decision: 'askIdentity' }
  | { readonly decision: 'adopt' }
  | { readonly decision: 'suspect'; readonly remainingMs: number }
  /** The host is reported as failed and was not suspected here. */
  | { readonly decision: 'suspectFailure' }
  | { readonly decision: 'fail' }
  /** Only the versions of the control group's state that the host holds are newer. */
  | { readonly decision: 'updateVersions' }
  /** The failure report is old: a probe by this host decides. */
  | { readonly decision: 'verify' };

/** How a record arrived: from its own host, as gossip about another host, or in a sync. */
export type RecordSource = 'direct' | 'gossip' | 'sync';

const ignore: MergeDecision = { decision: 'ignore' };

/** Decides how to merge a newer record that reports a host as suspected or failed. */
function decideFailureReport(
  entry: MemberEntry,
  record: MemberRecord,
  suspicionMs: number,
): MergeDecision {
  if (record.state === 'failed' && entry.state === 'failed') return { decision: 'adopt' };
  if (record.ageMs > maxFailureReportAgeMs) {
    return entry.state === 'failed' ? ignore : { decision: 'verify' };
  }
  if (record.state === 'failed') {
    if (entry.state === 'suspected') return { decision: 'fail' };
    return { decision: 'suspectFailure' };
  }
  return { decision: 'suspect', remainingMs: Math.max(minSuspicionMs, suspicionMs - record.ageMs) };
}

/** Whether a sync reports a host as alive whose failure is old, with an otherwise equal stamp. */
function isContradictedBySync(
  entry: MemberEntry,
  record: MemberRecord,
  source: RecordSource,
  nowMs: number,
): boolean {
  return (
    source === 'sync' &&
    entry.state === 'failed' &&
    record.state === 'alive' &&
    record.incarnation === entry.incarnation &&
    record.refutation === entry.refutation &&
    nowMs - entry.changedAtMs > maxFailureReportAgeMs
  );
}

/** Whether a record has newer versions of the control group's state than an entry. */
function hasNewerVersions(record: HeldVersions, entry: HeldVersions): boolean {
  return (
    record.documentVersion > entry.documentVersion || record.shiftRevision > entry.shiftRevision
  );
}

function decideUnknownProcess(record: MemberRecord): MergeDecision {
  if (record.identity === undefined) return { decision: 'askIdentity' };
  return { decision: 'adopt' };
}

/**
 * Decides how to merge a record of another host.
 *
 * @param entry - current entry of the host, undefined if it is unknown
 * @param suspicionMs - time from suspicion to failure
 * @param nowMs - monotonic time
 */
export function decideMerge(
  entry: MemberEntry | undefined,
  record: MemberRecord,
  source: RecordSource,
  suspicionMs: number,
  nowMs: number,
): MergeDecision {
  if (entry === undefined) return decideUnknownProcess(record);
  const order = compareStamps(record, entry);
  if (order > 0) {
    if (record.incarnation > entry.incarnation) return decideUnknownProcess(record);
    if (isRefutable(record.state)) return decideFailureReport(entry, record, suspicionMs);
    return { decision: 'adopt' };
  }
  if (isContradictedBySync(entry, record, source, nowMs)) return { decision: 'adopt' };
  if (record.incarnation !== entry.incarnation) return ignore;
  if (hasNewerVersions(record, entry)) return { decision: 'updateVersions' };
  return ignore;
}
