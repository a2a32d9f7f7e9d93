import { readdir } from 'node:fs/promises';
import { join } from 'node:path';

import type { DurableState } from '@buckthornlug/core/consensus/consensusTypes.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, type Result } from 'neverthrow';

import { readDurableState, readIdentity } from './groupFiles.js';

/** Offline check of the groups in a data folder; reads only. */

/** Result of the check of one group folder. */
export interface GroupCheck {
  readonly groupId: string;
  readonly result: Result<GroupSummary, Failure>;
}

/** Summary of an undamaged group folder. */
export interface GroupSummary {
  readonly incarnation: string;
  readonly state: 'empty' | 'joined';
  readonly term: number;
  readonly snapshotIndex: number;
  readonly lastIndex: number;
  /** Bytes of a torn write at the end; the next start cuts them off. */
  readonly tornBytes: number;
}

/** Checks the log for gaps and decreasing terms. */
function checkLogOrder({ snapshot, entries }: DurableState): Result<void, Failure> {
  let { index, term } = snapshot;
  for (const entry of entries) {
    if (entry.index !== index + 1 || entry.term < term) {
      const found = `entry ${entry.index} of term ${entry.term}`;
      return err(failure('BL5003', `${found} follows entry ${index} of term ${term}`));
    }
    ({ index, term } = entry);
  }
  return ok(undefined);
}

async function checkFolder(folder: string): Promise<Result<GroupSummary, Failure>> {
  const identity = await readIdentity(folder);
  if (identity.isErr()) return err(identity.error);
  if (identity.value === undefined)
    return err(failure('BL5003', `${folder}: it contains no replica`));
  const { incarnation, formationId } = identity.value;
  if (formationId === undefined) {
    const noEntries = { term: 0, snapshotIndex: 0, lastIndex: 0, tornBytes: 0 };
    return ok({ incarnation, state: 'empty', ...noEntries });
  }
  const recovered = await readDurableState(folder);
  if (recovered.isErr()) return err(recovered.error);
  const { durable, cutBytes } = recovered.value;
  return checkLogOrder(durable).map(() => ({
    incarnation,
    state: 'joined',
    term: durable.hardState.term,
    snapshotIndex: durable.snapshot.index,
    lastIndex: durable.snapshot.index + durable.entries.length,
    tornBytes: cutBytes,
  }));
}

/**
 * Checks every group of a data folder.
 *
 * @param dataFolder - data folder of a host that does not run
 */
export async function checkStorage(dataFolder: string): Promise<GroupCheck[]> {
  const groupsFolder = join(dataFolder, 'groups');
  const groupIds = await readdir(groupsFolder).catch(() => []);
  const checks: GroupCheck[] = [];
  for (const groupId of groupIds.sort()) {
    checks.push({ groupId, result: await checkFolder(join(groupsFolder, groupId)) });
  }
  return checks;
}
