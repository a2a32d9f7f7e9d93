import { mkdir, open, type FileHandle } from 'node:fs/promises';

import type { DurableState, PersistEffect } from '@buckthornlug/core/consensus/consensusTypes.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import { encodeBinary } from './binaryCodec.js';
import {
  readDurableState,
  readIdentity,
  removeObsoleteFiles,
  replayBatches,
  segmentPath,
  writeIdentity,
  writeSegment,
  writeSnapshot,
  type RecoveredState,
  type StoredBatch,
} from './groupFiles.js';
import { encodeRecord } from './logRecords.js';
import type { GroupStorage, ReplicaIdentity, StoredGroup } from './storageTypes.js';

/** Durable state of one replica in its folder. */

function writeFailure(error: unknown): Failure {
  return failure('BL5004', error instanceof Error ? error.message : String(error));
}

function toStoredBatch(effects: readonly PersistEffect[]): StoredBatch {
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

/** Folder of a group, its open segment and a copy of the written state. */
class FolderStorage {
  private segmentNumber = 0;

  private segmentHandle: FileHandle | undefined;

  private writtenState: DurableState | undefined;

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
    const { identity, cutBytes, writtenState } = this;
    return writtenState === undefined
      ? { identity, cutBytes }
      : { identity, cutBytes, durable: writtenState };
  }

  /** Continues from the recovered state in a new synced segment, which omits a torn write. */
  async resume(recovered: RecoveredState): Promise<void> {
    this.segmentNumber = recovered.segmentNumber;
    this.cutBytes = recovered.cutBytes;
    this.writtenState = recovered.durable;
    await this.rotate(recovered.durable);
  }

  private async reopenSegment(): Promise<void> {
    await this.segmentHandle?.close();
    this.segmentHandle = await this.openSegment(segmentPath(this.folder, this.segmentNumber));
  }

  /** Starts a segment that holds the whole state, and removes the files that it replaces. */
  async rotate(state: DurableState): Promise<void> {
    const { hardState, snapshot, entries } = state;
    if (this.writtenState?.snapshot !== snapshot) await writeSnapshot(this.folder, snapshot);
    const nextNumber = this.segmentNumber + 1;
    const kept = entries.filter((entry) => entry.index > snapshot.index);
    const base = { hardState, snapshotIndex: snapshot.index, entries: kept };
    await writeSegment(this.folder, nextNumber, base);
    this.segmentNumber = nextNumber;
    this.writtenState = { hardState, snapshot, entries: kept };
    await this.reopenSegment();
    await removeObsoleteFiles(this.folder, nextNumber, snapshot.index);
  }

  async join(formationId: string, durable: DurableState): Promise<void> {
    await this.rotate(durable);
    this.identity = { ...this.identity, formationId };
    await writeIdentity(this.folder, this.identity);
  }

  async write(effects: readonly PersistEffect[]): Promise<void> {
    if (this.writtenState === undefined) throw new Error('the replica has not joined its group');
    const batch = toStoredBatch(effects);
    const snapshot = effects.findLast((effect) => effect.snapshot !== undefined)?.snapshot;
    if (snapshot !== undefined) {
      await this.rotate({ ...replayBatches(this.writtenState, [batch]), snapshot });
      return;
    }
    if (this.segmentHandle === undefined) throw new Error('the storage is closed');
    await this.segmentHandle.appendFile(encodeRecord(encodeBinary(batch)));
    await this.segmentHandle.datasync();
    this.appendToWrittenState(this.writtenState, batch);
  }

  /** Applies a batch to the written state; plain appends do not copy the entries. */
  private appendToWrittenState(state: DurableState, batch: StoredBatch): void {
    const isPlain = batch.every((change) => change.truncateFrom === undefined && !change.resetLog);
    if (!isPlain) {
      this.writtenState = replayBatches(state, [batch]);
      return;
    }
    const entries = state.entries as DurableState['entries'][number][];
    for (const change of batch) entries.push(...change.entries);
    const hardState = batch.findLast((change) => change.hardState !== undefined)?.hardState;
    this.writtenState = { ...state, hardState: hardState ?? state.hardState };
  }

  async close(): Promise<void> {
    await this.segmentHandle?.close();
    this.segmentHandle = undefined;
  }
}

async function openFolder(
  folder: string,
  createIncarnation: () => string,
  openSegment: OpenSegment,
): Promise<Result<GroupStorage, Failure>> {
  await mkdir(folder, { recursive: true });
  const storedIdentity = await readIdentity(folder);
  if (storedIdentity.isErr()) return err(storedIdentity.error);
  const identity = storedIdentity.value ?? { incarnation: createIncarnation() };
  if (storedIdentity.value === undefined) await writeIdentity(folder, identity);
  const storage = new FolderStorage(folder, identity, openSegment);
  if (identity.formationId !== undefined) {
    const recovered = await readDurableState(folder);
    if (recovered.isErr()) return err(recovered.error);
    await storage.resume(recovered.value);
  }
  return ok({
    stored: () => storage.stored(),
    join: (formationId, durable) =>
      ResultAsync.fromPromise(storage.join(formationId, durable), writeFailure),
    write: (effects) => ResultAsync.fromPromise(storage.write(effects), writeFailure),
    rewrite: (state) => ResultAsync.fromPromise(storage.rotate(state), writeFailure),
    close: () => storage.close(),
  });
}

/**
 * Opens the folder of a group and cuts off a torn write.
 *
 * @param createIncarnation - creates the identity of a new disk
 * @returns the storage; BL5003 if a file is damaged, BL5004 if the folder cannot be written
 */
export function openGroupStorage(
  folder: string,
  createIncarnation: () => string,
  openSegment: OpenSegment = openForAppend,
): ResultAsync<GroupStorage, Failure> {
  return ResultAsync.fromPromise(
    openFolder(folder, createIncarnation, openSegment),
    writeFailure,
  ).andThen((result) => result);
}
