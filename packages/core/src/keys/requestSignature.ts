import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, type Result } from 'neverthrow';

import type { ReplayWindow } from './replayWindow.js';
import { computeDigest, isSignedBy, signText, type SharedKey } from './signature.js';

/** The parts of a request between hosts that its signature covers. */
export interface SignedRequest {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Routing fields of a forwarded call; empty where there are none. */
  readonly routing: string;
  /** Whole body; undefined where the body is streamed and not covered. */
  readonly body: string | Uint8Array | undefined;
}

/** Sender, receiver, time and nonce, which the signature covers in addition to the request. */
export interface SignatureMetadata {
  /** Host that sends the request. */
  readonly hostId: string;
  /** Host that the request is for. */
  readonly toHostId: string;
  readonly sentAtMs: number;
  /** Unique among the requests of the sending host. */
  readonly nonce: string;
}

/** Replaces the digest of a body that the signature does not cover. */
const uncoveredBodyMark = '-';
const fieldSeparator = ' ';

function signedTextOf(request: SignedRequest, metadata: SignatureMetadata): string {
  const digest = request.body === undefined ? uncoveredBodyMark : computeDigest(request.body);
  const { hostId, toHostId, sentAtMs, nonce } = metadata;
  const { method, path, routing } = request;
  return [hostId, toHostId, sentAtMs, nonce, method, path, routing, digest].join('\n');
}

/**
 * Signs a request between hosts.
 *
 * @param key - signing key
 * @param request - covered parts
 * @param metadata - sender, receiver, time and nonce
 * @returns value of the signature field
 */
export function signRequest(
  key: SharedKey,
  request: SignedRequest,
  metadata: SignatureMetadata,
): string {
  const signature = signText(key, signedTextOf(request, metadata));
  const { hostId, toHostId, sentAtMs, nonce } = metadata;
  return [hostId, toHostId, sentAtMs, nonce, signature].join(fieldSeparator);
}

/** A parsed signature field. */
export interface ParsedSignature extends SignatureMetadata {
  readonly signature: string;
}

function refuse(detail: string): Result<never, Failure> {
  return err(failure('BL6001', detail));
}

/**
 * Parses a signature field.
 *
 * @param field - value of the header field
 * @returns the parsed signature, or BL6001
 */
export function parseSignature(field: unknown): Result<ParsedSignature, Failure> {
  if (typeof field !== 'string') return refuse('the request is not signed');
  const [hostId, toHostId, sentAt, nonce, signature, ...rest] = field.split(fieldSeparator);
  const sentAtMs = Number(sentAt);
  const hasHosts = hostId !== undefined && toHostId !== undefined;
  const isComplete = hasHosts && nonce !== undefined && signature !== undefined;
  if (!isComplete || rest.length > 0 || !Number.isFinite(sentAtMs)) {
    return refuse('the signature is malformed');
  }
  return ok({ hostId, toHostId, sentAtMs, nonce, signature });
}

/** Identity and state with which a host verifies requests. */
export interface RequestVerifier {
  /** Host that verifies; requests for other hosts are refused. */
  readonly hostId: string;
  /** Valid keys; several during a rotation. */
  readonly keys: readonly SharedKey[];
  /** Requests accepted before. */
  readonly replayWindow: ReplayWindow;
}

/**
 * Verifies a signed request. Only a request for this host with a valid signature is entered in the
 * replay window.
 *
 * @param verifier - verifying host, its keys and its replay window
 * @param request - covered parts as received
 * @param field - value of the signature field
 * @param nowMs - wall time at this host
 * @returns the sending host, or BL6001
 */
export function verifyRequest(
  verifier: RequestVerifier,
  request: SignedRequest,
  field: unknown,
  nowMs: number,
): Result<string, Failure> {
  const { hostId, keys, replayWindow } = verifier;
  return parseSignature(field).andThen((parsed) => {
    if (parsed.toHostId !== hostId) {
      return refuse(`the request of host "${parsed.hostId}" is addressed to another host`);
    }
    if (!isSignedBy(keys, signedTextOf(request, parsed), parsed.signature)) {
      return refuse(`the signature of host "${parsed.hostId}" is not valid`);
    }
    if (!replayWindow.accept(`${parsed.hostId} ${parsed.nonce}`, parsed.sentAtMs, nowMs)) {
      return refuse(
        `the request of host "${parsed.hostId}" is outside the replay window or was seen before`,
      );
    }
    return ok(parsed.hostId);
  });
}
