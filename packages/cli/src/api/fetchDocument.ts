import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, type Result } from 'neverthrow';

import type { AdminClient } from './adminClient.js';

/**
 * Fetches the document in force, with the versions of its sections.
 */
export async function fetchDocument(
  client: AdminClient,
): Promise<Result<SteeringDocument, Failure>> {
  const answer = await client.get('/v1/document');
  if (answer.isErr()) return err(answer.error);
  return checkDocument(answer.value);
}
