import { open, rename } from 'node:fs/promises';
import { dirname } from 'node:path';

/** Name that a file has until it is whole, after the name that it replaces. */
export const unfinishedSuffix = '.tmp';

/** Syncs the names in a folder. */
async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}

/**
 * Writes a file whole or not at all, and syncs it with its name. Rejects where the folder, which
 * must exist, cannot be written.
 *
 * @param path - file that is replaced
 * @param content - whole content
 */
export async function replaceFile(path: string, content: string | Uint8Array): Promise<void> {
  const unfinishedPath = path + unfinishedSuffix;
  const handle = await open(unfinishedPath, 'w');
  try {
    await handle.writeFile(content);
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(unfinishedPath, path);
  await syncFolder(dirname(path));
}
