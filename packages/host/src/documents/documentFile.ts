import { createHash } from 'node:crypto';
import { mkdir, readFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';

import type { ControlUpdate } from '@buckthornlug/core/spreading/spreadingTypes.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import { replaceFile } from '../runtime/replaceFile.js';
import { controlUpdateSchema } from './documentsSchema.js';

/**
 * File in the data folder with the newest document and shift steps. The first line holds the format
 * version and the SHA-256 digest of the rest, the second line the content as JSON.
 */

const formatVersion = 1;

export function documentFilePath(dataFolder: string): string {
  return join(dataFolder, 'documents', 'last.json');
}

function computeDigest(content: string): string {
  return createHash('sha256').update(content).digest('hex');
}

function damagedFileFailure(problem: string): Result<never, Failure> {
  return err(failure('BL5003', `the document file is damaged: ${problem}`));
}

/**
 * Decodes the text of the file and checks its digest.
 *
 * @returns the update that restores a copy, or BL5003 if the file is damaged
 */
export function decodeDocumentFile(text: string): Result<ControlUpdate, Failure> {
  const lineEnd = text.indexOf('\n');
  const header = text.slice(0, Math.max(0, lineEnd));
  const content = text.slice(lineEnd + 1);
  if (header !== `${formatVersion} ${computeDigest(content)}`)
    return damagedFileFailure('the header does not match the content');
  const parsed = controlUpdateSchema.safeParse(JSON.parse(content));
  return parsed.success ? ok(parsed.data) : damagedFileFailure('fields are missing');
}

/**
 * Encodes the text of the file.
 *
 * @param update - full update, from version 0
 */
export function encodeDocumentFile(update: ControlUpdate): string {
  const content = JSON.stringify(update);
  return `${formatVersion} ${computeDigest(content)}\n${content}`;
}

/**
 * Reads the file.
 *
 * @returns the update that restores a copy; undefined if there is no file; BL5003 if it is damaged
 */
export async function readDocumentFile(
  dataFolder: string,
): Promise<Result<ControlUpdate | undefined, Failure>> {
  const text = await readFile(documentFilePath(dataFolder), 'utf8').catch(() => undefined);
  return text === undefined ? ok(undefined) : decodeDocumentFile(text);
}

async function replaceContent(path: string, content: string): Promise<void> {
  await mkdir(dirname(path), { recursive: true });
  await replaceFile(path, content);
}

/**
 * Replaces the file; its content is synced once the result resolves.
 *
 * @param update - full update, from version 0
 * @returns BL5004 if the folder cannot be written
 */
export function writeDocumentFile(
  dataFolder: string,
  update: ControlUpdate,
): ResultAsync<void, Failure> {
  return ResultAsync.fromPromise(
    replaceContent(documentFilePath(dataFolder), encodeDocumentFile(update)),
    (error) => failure('BL5004', String(error)),
  );
}
