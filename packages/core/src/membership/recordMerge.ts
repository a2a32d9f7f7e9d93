import { minSuspicionMs, maxFailureReportAgeMs } from './membershipLimits.js';
import type { HeldVersions, MemberEntry, MemberRecord } from './membershipTypes.js';
import { compareStamps, isRefutable } from './memberStamp.js';

/** What a record heard of means for the entry of its host. */
export type MergeDecision =
  | { readonly decision: 'ignore' }
  /** The process is not known and the record does not describe it. */
  | { readonly decision: 'askIdentity' }
  | { readonly decision: 'adopt' }
  | { readonly decision: 'suspect'; readonly remainingMs: number }
  | { readonly decision: 'fail' }
  /** Only what the host holds of the control group's state is newer. */
  | { readonly decision: 'updateVersions' }
  /** The accusation is old: a probe from here decides. */
  | { readonly decision: 'verify' };

/** How a record came: from its host, as news of another host, or in a full exchange. */
export type RecordSource = 'direct' | 'gossip' | 'sync';

const ignore: MergeDecision = { decision: 'ignore' };

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
    return { decision: 'suspect', remainingMs: minSuspicionMs };
  }
  return { decision: 'suspect', remainingMs: Math.max(minSuspicionMs, suspicionMs - record.ageMs) };
}

/** Whether a host that now takes part vouches for one that was found failed long ago. */
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

/** Whether a record tells of newer versions than an entry. */
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
 * Decides what a record of another host means.
 *
 * @param entry - what is known of the host, if anything
 * @param record - record heard of
 * @param source - how it came
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
