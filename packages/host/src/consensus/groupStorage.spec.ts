import { mkdtemp, open, readFile, readdir, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import type { LogEntry, PersistEffect } from '@buckthornlug/core/consensus/consensusTypes.js';
import test, { type ExecutionContext } from 'ava';

import { createInitialState } from './formation.js';
import { openGroupStorage } from './groupStorage.js';
import { checkStorage } from './storageCheck.js';
import type { GroupStorage } from './storageTypes.js';

const groupId = 'control';

async function newFolder(t: ExecutionContext): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'bl-storage-'));
  t.teardown(() => rm(folder, { recursive: true }));
  return folder;
}

const groupFolderOf = (dataFolder: string) => join(dataFolder, 'groups', groupId);

async function openStorage(dataFolder: string): Promise<GroupStorage> {
  const result = await openGroupStorage(groupFolderOf(dataFolder), () => 'disk1');
  if (result.isErr()) throw new Error(result.error.detail);
  return result.value;
}

const createEntry = (index: number, term = 1): LogEntry => ({
  index,
  term,
  body: { kind: 'command', data: Uint8Array.of(index, 7) },
});

const createEffect = (fields: Partial<PersistEffect>): PersistEffect => ({
  kind: 'persist',
  sequence: 1,
  entries: [],
  resetLog: false,
  ...fields,
});

async function createWrittenFolder(t: ExecutionContext): Promise<string> {
  const dataFolder = await newFolder(t);
  const storage = await openStorage(dataFolder);
  await storage.join('formation', createInitialState(['a/disk1']));
  const hardState = { term: 1, votedFor: 'a/disk1' };
  await storage.write([createEffect({ hardState, entries: [createEntry(1), createEntry(2)] })]);
  await storage.write([createEffect({ entries: [createEntry(3)] })]);
  await storage.close();
  return dataFolder;
}

async function findSegmentPath(dataFolder: string): Promise<string> {
  const names = await readdir(groupFolderOf(dataFolder));
  const name = names.find((one) => one.endsWith('.seg')) ?? '';
  return join(groupFolderOf(dataFolder), name);
}

async function readEntryIndexes(dataFolder: string): Promise<number[]> {
  const storage = await openStorage(dataFolder);
  await storage.close();
  return storage.stored().durable?.entries.map(({ index }) => index) ?? [];
}

test('a reopened folder holds everything written, with truncations and snapshots applied in order', async (t) => {
  const dataFolder = await createWrittenFolder(t);
  const storage = await openStorage(dataFolder);
  await storage.write([
    createEffect({ truncateFrom: 3, entries: [createEntry(3, 2), createEntry(4, 2)] }),
    createEffect({ hardState: { term: 2, votedFor: null } }),
  ]);
  const members = { voters: ['a/disk1'], learners: [] };
  const snapshot = { index: 3, term: 2, members, data: Uint8Array.of(9) };
  await storage.write([createEffect({ snapshot })]);
  await storage.close();
  const reopened = await openStorage(dataFolder);
  await reopened.close();
  const { durable } = reopened.stored();
  t.deepEqual(durable?.hardState, { term: 2, votedFor: null });
  t.deepEqual(
    durable?.entries.map(({ index, term }) => [index, term]),
    [[4, 2]],
  );
  t.deepEqual([...(durable?.snapshot.data ?? [])], [9]);
  t.is((await readdir(groupFolderOf(dataFolder))).length, 3);
});

/** Damage of a segment, and what the next start and the offline check report. */
interface Damage {
  readonly name: string;
  readonly apply: (bytes: Buffer) => Buffer;
  /** Entries that the next start reads, or its result code. */
  readonly opens: string;
}

const damages: Damage[] = [
  { name: 'none', apply: (bytes) => bytes, opens: '1,2,3' },
  { name: 'last record truncated', apply: (bytes) => bytes.subarray(0, -5), opens: '1,2' },
  {
    name: 'zeros after the last record',
    apply: (bytes) => Buffer.concat([bytes, Buffer.alloc(64)]),
    opens: '1,2,3',
  },
  {
    name: 'a flipped bit in the last record',
    apply: (bytes) => {
      bytes.writeUInt8(bytes.readUInt8(bytes.length - 1) ^ 1 || 1, bytes.length - 1);
      return bytes;
    },
    opens: 'BL5003',
  },
  {
    name: 'a flipped bit in the middle',
    apply: (bytes) => {
      const at = Math.floor(bytes.length / 2);
      bytes.writeUInt8(bytes.readUInt8(at) ^ 4, at);
      return bytes;
    },
    opens: 'BL5003',
  },
  {
    name: 'unknown format',
    apply: (bytes) => Buffer.concat([Buffer.of(1), bytes]),
    opens: 'BL5003',
  },
  { name: 'empty file', apply: () => Buffer.alloc(0), opens: 'BL5003' },
];

for (const { name, apply, opens } of damages) {
  test(`a segment is read, truncated or refused according to its damage: ${name}`, async (t) => {
    const dataFolder = await createWrittenFolder(t);
    const path = await findSegmentPath(dataFolder);
    await writeFile(path, apply(await readFile(path)));
    const [check] = await checkStorage(dataFolder);
    t.is(check?.result.isErr() ? check.result.error.code : 'ok', opens === 'BL5003' ? opens : 'ok');
    const result = await openGroupStorage(groupFolderOf(dataFolder), () => 'disk2');
    if (result.isErr()) {
      t.is(String(result.error.code), opens);
      return;
    }
    await result.value.close();
    t.is((await readEntryIndexes(dataFolder)).join(), opens);
  });
}

test('state without its identity is refused, and an empty folder is a new disk', async (t) => {
  const dataFolder = await createWrittenFolder(t);
  await rm(join(groupFolderOf(dataFolder), 'replica.json'));
  const result = await openGroupStorage(groupFolderOf(dataFolder), () => 'disk2');
  t.is(result.isErr() ? result.error.code : 'opened', 'BL5003');
  const fresh = await openStorage(await newFolder(t));
  t.is(fresh.stored().durable, undefined);
  await fresh.close();
});

test('a write to a full disk fails with BL5004, and the state is rewritten once there is room', async (t) => {
  const dataFolder = await newFolder(t);
  const pathOverrides = [(path: string) => path, () => '/dev/full', (path: string) => path];
  const result = await openGroupStorage(
    groupFolderOf(dataFolder),
    () => 'disk1',
    (path) => open(pathOverrides.shift()?.(path) ?? path, 'a'),
  );
  if (result.isErr()) throw new Error(result.error.detail);
  const storage = result.value;
  const state = createInitialState(['a/disk1']);
  await storage.join('formation', state);
  await storage.rewrite(state);
  const failed = await storage.write([createEffect({ entries: [createEntry(1)] })]);
  t.is(failed.isErr() ? failed.error.code : 'written', 'BL5004');
  t.true((await storage.rewrite({ ...state, entries: [createEntry(1)] })).isOk());
  await storage.close();
  t.deepEqual(await readEntryIndexes(dataFolder), [1]);
  t.true((await storage.write([createEffect({})])).isErr());
});
