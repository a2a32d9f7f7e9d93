import { open, rename } from 'node:fs/promises';
import { dirname } from 'node:path';

/** Suffix of the temporary file that is written before it replaces the file of that name. */
export const temporarySuffix = '.tmp';

/** Syncs a folder, so that the names of its files survive a crash. */
async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/**
 * Replaces a file atomically, and syncs its content and its name. The folder must exist; rejects if
 * the file cannot be written.
 *
 * @param path - file to create or replace
 * @param content - complete new content
 */
export async function replaceFile(path: string, content: string | Uint8Array): Promise<void> {
  const temporaryPath = path + temporarySuffix;
  const handle = await open(temporaryPath, 'w');
  try {
    await handle.writeFile(content);
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(temporaryPath, path);
  await syncFolder(dirname(path));
}
