import { mkdir, open, type FileHandle } from 'node:fs/promises';

import type { DurableState, PersistEffect } from '@buckthornlug/core/consensus/consensusTypes.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import { encodeBinary } from './binaryCodec.js';
import {
  readDurable,
  readIdentity,
  removeOld,
  replayBatches,
  segmentPath,
  writeIdentity,
  writeSegment,
  writeSnapshot,
  type ReadState,
  type StoredBatch,
} from './groupFiles.js';
import { encodeRecord } from './logRecords.js';
import type { GroupStorage, ReplicaIdentity, StoredGroup } from './storageTypes.js';

/** Durable state of one replica in its folder. */

function cannotWrite(error: unknown): Failure {
  return failure('BL5004', error instanceof Error ? error.message : String(error));
}

function withoutSnapshot(effects: readonly PersistEffect[]): StoredBatch {
  return effects.map(({ sequence, hardState, truncateFrom, entries, resetLog }) => ({
    sequence,
    hardState,
    truncateFrom,
    entries,
    resetLog,
  }));
}

/** Opens a segment to append batches to it. */
export type OpenSegment = (path: string) => Promise<FileHandle>;

const openForAppend: OpenSegment = (path) => open(path, 'a');

/** Folder, open segment and mirror of what is written. */
class FolderStorage {
  private segment = 0;

  private handle: FileHandle | undefined;

  private mirror: DurableState | undefined;

  private cutBytes = 0;

  private identity: ReplicaIdentity;

  constructor(
    private readonly folder: string,
    identity: ReplicaIdentity,
    private readonly openSegment: OpenSegment,
  ) {
    this.identity = identity;
  }

  stored(): StoredGroup {
    const { identity, cutBytes, mirror } = this;
    return mirror === undefined ? { identity, cutBytes } : { identity, cutBytes, durable: mirror };
  }

  /** Goes on from what was read; a new synced segment leaves out a torn write at the end. */
  async resume(read: ReadState): Promise<void> {
    this.segment = read.segment;
    this.cutBytes = read.cutBytes;
    this.mirror = read.durable;
    await this.rotate(read.durable);
  }

  private async reopen(): Promise<void> {
    await this.handle?.close();
    this.handle = await this.openSegment(segmentPath(this.folder, this.segment));
  }

  /** Starts a segment that holds everything. */
  async rotate(state: DurableState): Promise<void> {
    const { hardState, snapshot, entries } = state;
    if (this.mirror?.snapshot !== snapshot) await writeSnapshot(this.folder, snapshot);
    const next = this.segment + 1;
    const kept = entries.filter((entry) => entry.index > snapshot.index);
    const base = { hardState, snapshotIndex: snapshot.index, entries: kept };
    await writeSegment(this.folder, next, base);
    this.segment = next;
    this.mirror = { hardState, snapshot, entries: kept };
    await this.reopen();
    await removeOld(this.folder, next, snapshot.index);
  }

  async join(formationId: string, durable: DurableState): Promise<void> {
    await this.rotate(durable);
    this.identity = { ...this.identity, formationId };
    await writeIdentity(this.folder, this.identity);
  }

  async write(effects: readonly PersistEffect[]): Promise<void> {
    if (this.mirror === undefined) throw new Error('the replica has not joined its group');
    const batch = withoutSnapshot(effects);
    const snapshot = effects.findLast((effect) => effect.snapshot !== undefined)?.snapshot;
    if (snapshot !== undefined) {
      await this.rotate({ ...replayBatches(this.mirror, [batch]), snapshot });
      return;
    }
    if (this.handle === undefined) throw new Error('the storage is closed');
    await this.handle.appendFile(encodeRecord(encodeBinary(batch)));
    await this.handle.datasync();
    this.appendToMirror(this.mirror, batch);
  }

  /** Moves the mirror on; plain appends do not copy the entries. */
  private appendToMirror(mirror: DurableState, batch: StoredBatch): void {
    const isPlain = batch.every((change) => change.truncateFrom === undefined && !change.resetLog);
    if (!isPlain) {
      this.mirror = replayBatches(mirror, [batch]);
      return;
    }
    const entries = mirror.entries as DurableState['entries'][number][];
    for (const change of batch) entries.push(...change.entries);
    const hardState = batch.findLast((change) => change.hardState !== undefined)?.hardState;
    this.mirror = { ...mirror, hardState: hardState ?? mirror.hardState };
  }

  async close(): Promise<void> {
    await this.handle?.close();
    this.handle = undefined;
  }
}

async function openFolder(
  folder: string,
  newIncarnation: () => string,
  openSegment: OpenSegment,
): Promise<Result<GroupStorage, Failure>> {
  await mkdir(folder, { recursive: true });
  const found = await readIdentity(folder);
  if (found.isErr()) return err(found.error);
  const identity = found.value ?? { incarnation: newIncarnation() };
  if (found.value === undefined) await writeIdentity(folder, identity);
  const storage = new FolderStorage(folder, identity, openSegment);
  if (identity.formationId !== undefined) {
    const read = await readDurable(folder);
    if (read.isErr()) return err(read.error);
    await storage.resume(read.value);
  }
  return ok({
    stored: () => storage.stored(),
    join: (formationId, durable) =>
      ResultAsync.fromPromise(storage.join(formationId, durable), cannotWrite),
    write: (effects) => ResultAsync.fromPromise(storage.write(effects), cannotWrite),
    rewrite: (state) => ResultAsync.fromPromise(storage.rotate(state), cannotWrite),
    close: () => storage.close(),
  });
}

/**
 * Opens the folder of a group and cuts off a torn write.
 *
 * @param folder - folder of the group
 * @param newIncarnation - gives the identity of a new disk
 * @param openSegment - opens a segment for batches
 * @returns the storage; BL5003 where a file is damaged, BL5004 where it cannot be written
 */
export function openGroupStorage(
  folder: string,
  newIncarnation: () => string,
  openSegment: OpenSegment = openForAppend,
): ResultAsync<GroupStorage, Failure> {
  return ResultAsync.fromPromise(
    openFolder(folder, newIncarnation, openSegment),
    cannotWrite,
  ).andThen((result) => result);
}
