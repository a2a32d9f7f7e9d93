import { readdir, readFile, rm, stat } from 'node:fs/promises';
import { join } from 'node:path';
import { crc32 } from 'node:zlib';

import type {
  DurableState,
  HardState,
  PersistEffect,
  Snapshot,
} from '@buckthornlug/core/consensus/consensusTypes.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, type Result } from 'neverthrow';

import { replaceFile, temporarySuffix } from '../runtime/replaceFile.js';
import { decodeBinary, encodeBinary } from './binaryCodec.js';
import { encodeRecord, scanRecords, type ScannedRecords } from './logRecords.js';
import type { ReplicaIdentity } from './storageTypes.js';

/** Files of a group folder, format 1; docs/design/agreement.md describes the layout. */

const formatVersion = 1;
const identityFileName = 'replica.json';
const logHeader = Buffer.from(`buckthornlug-log-${formatVersion}\n`);
const snapshotHeader = Buffer.from(`buckthornlug-snapshot-${formatVersion}\n`);
const checksumBytes = 4;

/** First record of a segment: the state that its batches apply to. */
export interface SegmentBase {
  readonly hardState: HardState;
  readonly snapshotIndex: number;
  readonly entries: DurableState['entries'];
}

/** Changes of one batch, as stored in a record. */
export type StoredBatch = readonly Omit<PersistEffect, 'kind' | 'snapshot'>[];

/** Path of a segment by its number. */
export const segmentPath = (folder: string, number: number): string =>
  join(folder, `log-${String(number).padStart(10, '0')}.seg`);

/** Path of a snapshot by its index. */
export const snapshotPath = (folder: string, index: number): string =>
  join(folder, `snapshot-${String(index).padStart(12, '0')}.snap`);

/** Returns the numbers in the names of the log or snapshot files, lowest first. */
export async function listFileNumbers(folder: string, prefix: string): Promise<number[]> {
  const names = await readdir(folder);
  const numbers: number[] = [];
  for (const name of names) {
    const match = /^(log|snapshot)-(\d+)\.(seg|snap)$/.exec(name);
    if (match?.[1] === prefix) numbers.push(Number(match[2]));
  }
  return numbers.sort((left, right) => left - right);
}

/** Writes a snapshot file. */
export async function writeSnapshot(folder: string, snapshot: Snapshot): Promise<void> {
  const payload = Buffer.from(encodeBinary(snapshot));
  const checksum = Buffer.alloc(checksumBytes);
  checksum.writeUInt32BE(crc32(payload), 0);
  const bytes = Buffer.concat([snapshotHeader, checksum, payload]);
  await replaceFile(snapshotPath(folder, snapshot.index), bytes);
}

/** Writes a new segment that begins with its base. */
export async function writeSegment(
  folder: string,
  number: number,
  base: SegmentBase,
): Promise<void> {
  const bytes = Buffer.concat([logHeader, encodeRecord(encodeBinary(base))]);
  await replaceFile(segmentPath(folder, number), bytes);
}

/** Writes the identity of the replica. */
export async function writeIdentity(folder: string, identity: ReplicaIdentity): Promise<void> {
  const text = JSON.stringify({ format: formatVersion, ...identity });
  await replaceFile(join(folder, identityFileName), `${text}\n`);
}

const damagedFileFailure = (path: string, problem: string): Failure =>
  failure('BL5003', `${path}: ${problem}`);

/** Reads the identity; undefined if the folder is new. */
export async function readIdentity(
  folder: string,
): Promise<Result<ReplicaIdentity | undefined, Failure>> {
  const path = join(folder, identityFileName);
  const names = await readdir(folder);
  if (!names.includes(identityFileName)) {
    const hasState = names.some((name) => name.endsWith('.seg') || name.endsWith('.snap'));
    return hasState ? err(damagedFileFailure(path, 'the file is missing')) : ok(undefined);
  }
  try {
    const value = JSON.parse(await readFile(path, 'utf8')) as Record<string, unknown>;
    const { format, incarnation, formationId } = value;
    if (format !== formatVersion)
      return err(damagedFileFailure(path, `format ${String(format)} is unknown`));
    if (typeof incarnation !== 'string')
      return err(damagedFileFailure(path, 'it has no incarnation'));
    return ok(typeof formationId === 'string' ? { incarnation, formationId } : { incarnation });
  } catch {
    return err(damagedFileFailure(path, 'it is not valid JSON'));
  }
}

/** Reads a snapshot file. */
export async function readSnapshot(
  folder: string,
  index: number,
): Promise<Result<Snapshot, Failure>> {
  const path = snapshotPath(folder, index);
  const bytes = await readFile(path).catch(() => undefined);
  if (bytes === undefined) return err(damagedFileFailure(path, 'the file is missing'));
  if (!bytes.subarray(0, snapshotHeader.byteLength).equals(snapshotHeader)) {
    return err(damagedFileFailure(path, 'its format is unknown'));
  }
  const payload = bytes.subarray(snapshotHeader.byteLength + checksumBytes);
  if (bytes.byteLength < snapshotHeader.byteLength + checksumBytes) {
    return err(damagedFileFailure(path, 'it is truncated'));
  }
  if (crc32(payload) !== bytes.readUInt32BE(snapshotHeader.byteLength)) {
    return err(damagedFileFailure(path, 'its checksum is wrong'));
  }
  return ok(decodeBinary(payload) as Snapshot);
}

/** Reads the records of a segment. */
export async function readSegment(
  folder: string,
  number: number,
): Promise<Result<ScannedRecords, Failure>> {
  const path = segmentPath(folder, number);
  const bytes = await readFile(path);
  if (!bytes.subarray(0, logHeader.byteLength).equals(logHeader)) {
    return err(damagedFileFailure(path, 'its format is unknown'));
  }
  const scanned = scanRecords(bytes.subarray(logHeader.byteLength));
  if (scanned.end === 'damaged') {
    return err(
      damagedFileFailure(path, `bad record at byte ${logHeader.byteLength + scanned.validBytes}`),
    );
  }
  if (scanned.payloads.length === 0)
    return err(damagedFileFailure(path, 'its first record is missing'));
  const validBytes = logHeader.byteLength + scanned.validBytes;
  return ok({ ...scanned, validBytes });
}

/** Applies batches to a state; copies the entries once, not for each batch. */
export function replayBatches(base: DurableState, batches: readonly StoredBatch[]): DurableState {
  const entries = [...base.entries];
  let { hardState } = base;
  for (const change of batches.flat()) {
    hardState = change.hardState ?? hardState;
    if (change.resetLog) entries.length = 0;
    const firstIndex = entries[0]?.index ?? 0;
    if (change.truncateFrom !== undefined) {
      entries.length = Math.max(0, Math.min(entries.length, change.truncateFrom - firstIndex));
    }
    entries.push(...change.entries);
  }
  return { ...base, hardState, entries };
}

/** State of a joined replica, and the segment that it was read from. */
export interface RecoveredState {
  readonly durable: DurableState;
  readonly segmentNumber: number;
  /** Size of the segment without a torn write at its end. */
  readonly validBytes: number;
  readonly cutBytes: number;
}

/** Reads the state of a joined replica. */
export async function readDurableState(folder: string): Promise<Result<RecoveredState, Failure>> {
  const segmentNumber = (await listFileNumbers(folder, 'log')).at(-1);
  if (segmentNumber === undefined) return err(damagedFileFailure(folder, 'it contains no log'));
  const scanned = await readSegment(folder, segmentNumber);
  if (scanned.isErr()) return err(scanned.error);
  const [first, ...rest] = scanned.value.payloads;
  const base = decodeBinary(first as Uint8Array) as SegmentBase;
  const snapshot = await readSnapshot(folder, base.snapshotIndex);
  if (snapshot.isErr()) return err(snapshot.error);
  const batches = rest.map((payload) => decodeBinary(payload) as StoredBatch);
  const durable = replayBatches({ ...base, snapshot: snapshot.value }, batches);
  const { size } = await stat(segmentPath(folder, segmentNumber));
  const { validBytes } = scanned.value;
  return ok({ durable, segmentNumber, validBytes, cutBytes: size - validBytes });
}

/** Removes segments and snapshots that a newer segment has replaced, and unfinished files. */
export async function removeObsoleteFiles(
  folder: string,
  segmentNumber: number,
  snapshotIndex: number,
): Promise<void> {
  for (const number of await listFileNumbers(folder, 'log')) {
    if (number < segmentNumber) await rm(segmentPath(folder, number));
  }
  for (const index of await listFileNumbers(folder, 'snapshot')) {
    if (index !== snapshotIndex) await rm(snapshotPath(folder, index));
  }
  for (const name of await readdir(folder)) {
    if (name.endsWith(temporarySuffix)) await rm(join(folder, name));
  }
}
