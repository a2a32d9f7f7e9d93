import type { MemberEntry, MemberStamp, MemberState } from './membershipTypes.js';

const statePrecedence: Readonly<Record<MemberState, number>> = {
  alive: 0,
  leaving: 0,
  suspected: 1,
  failed: 2,
  left: 3,
};

/**
 * Compares two stamps of one host.
 *
 * @returns a positive number if the left one is newer, 0 if neither is
 */
export function compareStamps(
  left: Pick<MemberStamp, 'incarnation' | 'refutation' | 'state'>,
  right: Pick<MemberStamp, 'incarnation' | 'refutation' | 'state'>,
): number {
  if (left.incarnation !== right.incarnation) return left.incarnation - right.incarnation;
  if (left.refutation !== right.refutation) return left.refutation - right.refutation;
  return statePrecedence[left.state] - statePrecedence[right.state];
}

/** Whether a host in this state participates, that is, has neither failed nor left. */
export function isParticipating(state: MemberState): boolean {
  return state !== 'failed' && state !== 'left';
}

/** Whether other hosts set this state, so that the host itself may refute it. */
export function isRefutable(state: MemberState): boolean {
  return state === 'suspected' || state === 'failed';
}

/** Stamp of an entry. */
export function stampOf(entry: MemberEntry): MemberStamp {
  return {
    hostId: entry.identity.hostId,
    incarnation: entry.incarnation,
    refutation: entry.refutation,
    state: entry.state,
    documentVersion: entry.documentVersion,
    shiftRevision: entry.shiftRevision,
  };
}
