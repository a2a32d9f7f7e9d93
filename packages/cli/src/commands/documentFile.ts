import { readFile } from 'node:fs/promises';

import { decodeStrictUtf8 } from '@buckthornlug/protocol/common/strictUtf8.js';
import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, type Result } from 'neverthrow';

/**
 * Reads and checks a document file.
 *
 * @param path - path of the file
 * @returns the document; BL2001 if it cannot be read as JSON, BL2002 or BL2003 if it is invalid
 */
export async function readDocumentFile(path: string): Promise<Result<SteeringDocument, Failure>> {
  try {
    const value: unknown = JSON.parse(decodeStrictUtf8(await readFile(path)));
    return checkDocument(value);
  } catch (error) {
    return err(failure('BL2001', `${path}: ${error instanceof Error ? error.message : ''}`));
  }
}
