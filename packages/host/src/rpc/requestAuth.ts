import { randomBytes } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

import { ReplayWindow } from '@buckthornlug/core/keys/replayWindow.js';
import {
  signRequest,
  verifyRequest,
  type SignedRequest,
} from '@buckthornlug/core/keys/requestSignature.js';
import { isValidKeyField } from '@buckthornlug/core/keys/signature.js';
import { forwardedCallHeader } from '@buckthornlug/protocol/calls/forwardedCallSchema.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { SecretKey, Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';
import type { Result } from 'neverthrow';

/** Authentication of requests between hosts by the cluster keys. */

/** Header field with the signature of a request between hosts. */
export const signatureHeader = 'x-buckthornlug-signature';

/** Parts of a request that its signature may cover. */
export interface SignedParts {
  /** Host that receives the request. */
  readonly toHostId: string;
  readonly method: string;
  /** Path with query. */
  readonly path: string;
  /** Value of the header field with the routing data of a forwarded call. */
  readonly routing?: string;
  /** Whole body; absent if it is streamed. */
  readonly body?: string;
}

/** Signs the requests of this host and checks those of other hosts. */
export interface RequestAuth {
  /** Returns the header fields that authenticate the sender of a request. */
  readonly sign: (parts: SignedParts) => Record<string, string>;
  /**
   * Verifies the signature of a request.
   *
   * @param body - whole body; absent if it is streamed
   * @returns the id of the host that sent the request, or BL6001
   */
  readonly authenticate: (request: IncomingMessage, body?: string) => Result<string, Failure>;
}

const noncePrefixBytes = 9;

/**
 * Checks whether a header field `<key id>:<secret>` contains one of the valid keys.
 */
export function hasValidKey(field: string, keys: readonly SecretKey[]): boolean {
  return isValidKeyField(keys, field);
}

function toSignedRequest(parts: SignedParts): SignedRequest {
  const { method, path, routing = '', body } = parts;
  return { method, path, routing, body };
}

function readSignedRequest(request: IncomingMessage, body: string | undefined): SignedRequest {
  const routing = request.headers[forwardedCallHeader];
  return {
    method: request.method ?? '',
    path: request.url ?? '',
    routing: typeof routing === 'string' ? routing : '',
    body,
  };
}

/**
 * Creates the authentication of a host.
 *
 * @param settings - settings with the cluster keys; the first one signs
 * @param wallMs - returns the wall time in milliseconds
 */
export function createRequestAuth(
  settings: Settings,
  wallMs: () => number = Date.now,
): RequestAuth {
  const { hostId, clusterKeys } = settings;
  const [signingKey] = clusterKeys;
  const noncePrefix = randomBytes(noncePrefixBytes).toString('base64url');
  const verifier = { hostId, keys: clusterKeys, replayWindow: new ReplayWindow() };
  let nonceCount = 0;
  const nextNonce = () => {
    nonceCount += 1;
    return `${noncePrefix}.${nonceCount.toString(36)}`;
  };
  return {
    sign: (parts): Record<string, string> => {
      if (signingKey === undefined) return {};
      const { toHostId } = parts;
      const metadata = { hostId, toHostId, sentAtMs: wallMs(), nonce: nextNonce() };
      return { [signatureHeader]: signRequest(signingKey, toSignedRequest(parts), metadata) };
    },
    authenticate: (request, body) =>
      verifyRequest(
        verifier,
        readSignedRequest(request, body),
        request.headers[signatureHeader],
        wallMs(),
      ),
  };
}
