import type { Failure } from '../results/failure.js';

/** Identity of once-only work. */
export interface LedgerKey {
  readonly service: string;
  readonly kind: string;
  readonly identity: string;
  /** Digest of method, path and body; a different request with the same identity is refused. */
  readonly requestDigest: string;
}

/** A complete answer, stored so that it can be replayed to a resent request. */
export interface StoredAnswer {
  readonly status: number;
  readonly headers: readonly (readonly [string, string])[];
  /** Body in base64; absent if it was too large to store. */
  readonly bodyBase64?: string;
}

/** Decision of the ledger on a call with an identity. */
export type LedgerDecision =
  | { readonly decision: 'run'; readonly intentId: string; readonly group: string }
  | { readonly decision: 'replay'; readonly answer: StoredAnswer }
  | { readonly decision: 'refused'; readonly failure: Failure };

/** How once-only work ended. */
export type LedgerOutcome =
  | { readonly outcome: 'answered'; readonly answer: StoredAnswer }
  | { readonly outcome: 'notRun' }
  | { readonly outcome: 'unknown' };
