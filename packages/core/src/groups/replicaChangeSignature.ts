import type {
  ReplicaChangeBody,
  SignedReplicaChange,
} from '@buckthornlug/protocol/groups/replicaChangeSchema.js';

import { isSignedBy, signText, type SharedKey } from '../keys/signature.js';
import { canonicalJson } from '../submissions/canonicalJson.js';

/** Signatures of changes of a group's replicas. */

/** Longest time after which a signed change is still taken, clock differences included. */
export const replicaChangeMaxAgeMs = 300_000;

/** First part of the signed text, so that no other signature can be taken for one of a change. */
const signedTextPrefix = 'replica change ';

function signedTextOf({ groupId, change, baseReplicaIds, issuedAtMs }: ReplicaChangeBody): string {
  return `${signedTextPrefix}${canonicalJson({ groupId, change, baseReplicaIds, issuedAtMs })}`;
}

/**
 * Signs a change.
 *
 * @param body - change without signature
 * @param key - cluster key
 */
export function signReplicaChange(body: ReplicaChangeBody, key: SharedKey): SignedReplicaChange {
  return { ...body, signature: signText(key, signedTextOf(body)) };
}

/**
 * Tells whether a change is signed with a valid key and recent.
 *
 * @param signed - change as received
 * @param keys - valid cluster keys
 * @param wallMs - wall time
 */
export function isValidReplicaChange(
  signed: SignedReplicaChange,
  keys: readonly SharedKey[],
  wallMs: number,
): boolean {
  if (Math.abs(wallMs - signed.issuedAtMs) > replicaChangeMaxAgeMs) return false;
  return isSignedBy(keys, signedTextOf(signed), signed.signature);
}
