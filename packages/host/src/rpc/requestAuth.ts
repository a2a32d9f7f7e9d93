import { timingSafeEqual } from 'node:crypto';
import type { IncomingMessage } from 'node:http';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { SecretKey, Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';
import { err, ok, type Result } from 'neverthrow';

/** Authentication of requests between hosts by the cluster keys. */

const hostIdHeader = 'x-buckthornlug-host';
const clusterKeyHeader = 'x-buckthornlug-cluster-key';

/** The parts of a request that its signature may cover. */
export interface SignedParts {
  readonly method: string;
  /** Path with query. */
  readonly path: string;
}

/** Signs the requests of this host and checks those of other hosts. */
export interface RequestAuth {
  /** Header fields that prove who sends the request. */
  readonly sign: (parts: SignedParts) => Record<string, string>;
  /** Host that sent the request, or BL6001. */
  readonly authenticate: (request: IncomingMessage) => Result<string, Failure>;
}

/**
 * Compares two secrets in a time that does not depend on where they differ.
 *
 * @param given - secret of the request
 * @param known - valid secret
 */
export function equalSecrets(given: string, known: string): boolean {
  const givenBytes = Buffer.from(given);
  const knownBytes = Buffer.from(known);
  return givenBytes.length === knownBytes.length && timingSafeEqual(givenBytes, knownBytes);
}

/**
 * Tells whether a `<key id>:<secret>` field holds one of the valid keys.
 *
 * @param field - value of the header field
 * @param keys - valid keys
 */
export function holdsValidKey(field: string, keys: readonly SecretKey[]): boolean {
  const colon = field.indexOf(':');
  const id = field.slice(0, Math.max(0, colon));
  const secret = field.slice(colon + 1);
  const key = keys.find((candidate) => candidate.id === id);
  return key !== undefined && equalSecrets(secret, key.secret);
}

/**
 * Creates the authentication of a host.
 *
 * @param settings - settings with the cluster keys; the first key signs
 */
export function createRequestAuth(settings: Settings): RequestAuth {
  const [signingKey] = settings.clusterKeys;
  return {
    sign: () => ({
      [hostIdHeader]: settings.hostId,
      [clusterKeyHeader]: `${signingKey?.id}:${signingKey?.secret}`,
    }),
    authenticate: (request) => {
      const hostId = request.headers[hostIdHeader];
      const field = request.headers[clusterKeyHeader];
      if (typeof hostId !== 'string' || typeof field !== 'string') {
        return err(failure('BL6001', 'the request names no host or no key'));
      }
      if (!holdsValidKey(field, settings.clusterKeys)) {
        return err(failure('BL6001', `the key of host "${hostId}" is not valid`));
      }
      return ok(hostId);
    },
  };
}
