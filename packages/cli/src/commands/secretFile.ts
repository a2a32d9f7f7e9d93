import { readFile } from 'node:fs/promises';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, type Result } from 'neverthrow';

/**
 * Reads the secret of a key.
 *
 * @param path - path of the file
 * @returns the secret without surrounding whitespace; BL1005 if it cannot be read
 */
export async function readSecretFile(path: string): Promise<Result<string, Failure>> {
  try {
    return ok((await readFile(path, 'utf8')).trim());
  } catch {
    return err(failure('BL1005', `the secret file "${path}" cannot be read`));
  }
}
