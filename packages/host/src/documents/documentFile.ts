import { createHash } from 'node:crypto';
import { mkdir, readFile } from 'node:fs/promises';
import { dirname, join } from 'node:path';

import type { ControlUpdate } from '@buckthornlug/core/spreading/spreadingTypes.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import { replaceFile } from '../runtime/replaceFile.js';
import { controlUpdateSchema } from './documentsSchema.js';

/** The last document and steps, kept in the data folder: one line of head, one line of content. */

const formatVersion = 1;

/**
 * Path of the file.
 *
 * @param dataFolder - data folder of the host
 */
export function documentFilePath(dataFolder: string): string {
  return join(dataFolder, 'documents', 'last.json');
}

function computeDigest(content: string): string {
  return createHash('sha256').update(content).digest('hex');
}

function damagedFileFailure(problem: string): Result<never, Failure> {
  return err(failure('BL5003', `the file of the last document is damaged: ${problem}`));
}

/**
 * Checks and decodes the content of the file.
 *
 * @param text - whole content
 * @returns the update that restores a copy, or BL5003
 */
export function decodeDocumentFile(text: string): Result<ControlUpdate, Failure> {
  const lineEnd = text.indexOf('\n');
  const header = text.slice(0, Math.max(0, lineEnd));
  const content = text.slice(lineEnd + 1);
  if (header !== `${formatVersion} ${computeDigest(content)}`)
    return damagedFileFailure('head and content differ');
  const parsed = controlUpdateSchema.safeParse(JSON.parse(content));
  return parsed.success ? ok(parsed.data) : damagedFileFailure('fields are missing');
}

/**
 * Encodes the file.
 *
 * @param update - everything, from version 0
 */
export function encodeDocumentFile(update: ControlUpdate): string {
  const content = JSON.stringify(update);
  return `${formatVersion} ${computeDigest(content)}\n${content}`;
}

/**
 * Reads the last document.
 *
 * @param dataFolder - data folder of the host
 * @returns the update that restores a copy; undefined where there is no file; BL5003 where damaged
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
 * Replaces the last document; it is synced when the result is there.
 *
 * @param dataFolder - data folder of the host
 * @param update - everything, from version 0
 * @returns BL5004 where the folder cannot be written
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
