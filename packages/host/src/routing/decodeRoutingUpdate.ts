import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import {
  registeredBackendSchema,
  type RegisteredBackend,
} from '@buckthornlug/protocol/registry/registrySchema.js';
import { err, ok, type Result } from 'neverthrow';
import { z } from 'zod';

import { routingUpdateSchema, type RoutingUpdate } from './routingPollSchema.js';

/** A decoded update, without the records that do not match their schema. */
export interface DecodedUpdate {
  readonly update: RoutingUpdate;
  readonly skippedRecords: number;
}

const looseUpdateSchema = routingUpdateSchema.extend({ backends: z.array(z.unknown()) });

/**
 * Decodes the answer to a poll. A record of a backend server that does not match its schema is
 * skipped alone: refused as a whole, the update would be requested again and again, and the host
 * would follow no further change.
 *
 * @returns BL6003 if anything else does not match its schema
 */
export function decodeRoutingUpdate(value: unknown): Result<DecodedUpdate, Failure> {
  const loose = looseUpdateSchema.safeParse(value);
  if (!loose.success) {
    return err(failure('BL6003', 'the routing update does not match its schema'));
  }
  const backends: RegisteredBackend[] = [];
  for (const record of loose.data.backends) {
    const parsed = registeredBackendSchema.safeParse(record);
    if (parsed.success) backends.push(parsed.data);
  }
  const skippedRecords = loose.data.backends.length - backends.length;
  return ok({ update: { ...loose.data, backends }, skippedRecords });
}
