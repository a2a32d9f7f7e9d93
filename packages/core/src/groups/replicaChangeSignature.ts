import type {
  ReplicaChangeBody,
  SignedReplicaChange,
} from '@buckthornlug/protocol/groups/replicaChangeSchema.js';

import { isSignedBy, signText, type SharedKey } from '../keys/signature.js';
import { canonicalJson } from '../submissions/canonicalJson.js';

/** Signatures of changes to a group's replicas. */

/** Maximum age of a signed change, clock differences between hosts included. */
export const replicaChangeMaxAgeMs = 300_000;

/** Prefix of the signed text, so that a signature of another kind does not verify for a change. */
const signedTextPrefix = 'replica change ';

function signedTextOf({ groupId, change, baseReplicaIds, issuedAtMs }: ReplicaChangeBody): string {
  return `${signedTextPrefix}${canonicalJson({ groupId, change, baseReplicaIds, issuedAtMs })}`;
}

/** Signs a change with a cluster key. */
export function signReplicaChange(body: ReplicaChangeBody, key: SharedKey): SignedReplicaChange {
  return { ...body, signature: signText(key, signedTextOf(body)) };
}

/**
 * Whether a change is recent and signed with one of the keys.
 *
 * @param keys - valid cluster keys
 * @param wallMs - current wall time
 */
export function isValidReplicaChange(
  signed: SignedReplicaChange,
  keys: readonly SharedKey[],
  wallMs: number,
): boolean {
  if (Math.abs(wallMs - signed.issuedAtMs) > replicaChangeMaxAgeMs) return false;
  return isSignedBy(keys, signedTextOf(signed), signed.signature);
}
