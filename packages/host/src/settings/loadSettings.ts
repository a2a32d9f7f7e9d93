import { readFile } from 'node:fs/promises';

import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { checkSettings } from '@buckthornlug/protocol/settings/settings.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';
import { Result, ResultAsync } from 'neverthrow';

/** Fields of the settings that flags and environment variables can override. */
export interface SettingsOverrides {
  readonly hostId?: string | undefined;
  readonly region?: string | undefined;
  readonly availabilityZone?: string | undefined;
  readonly dataFolder?: string | undefined;
  readonly logLevel?: string | undefined;
}

/** Environment variable that overrides each field. */
export const overrideVariables = {
  hostId: 'BUCKTHORNLUG_HOST_ID',
  region: 'BUCKTHORNLUG_REGION',
  availabilityZone: 'BUCKTHORNLUG_AVAILABILITY_ZONE',
  dataFolder: 'BUCKTHORNLUG_DATA_FOLDER',
  logLevel: 'BUCKTHORNLUG_LOG_LEVEL',
} as const satisfies Record<keyof SettingsOverrides, string>;

/**
 * Reads the overrides from environment variables.
 */
export function readEnvironmentOverrides(
  environment: Readonly<Record<string, string | undefined>>,
): SettingsOverrides {
  const overrides: Record<string, string> = {};
  for (const [field, variable] of Object.entries(overrideVariables)) {
    const value = environment[variable];
    if (value !== undefined) overrides[field] = value;
  }
  return overrides;
}

function withOverrides(value: unknown, sources: readonly SettingsOverrides[]): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value;
  const merged: Record<string, unknown> = { ...value };
  for (const source of sources) {
    for (const [field, override] of Object.entries(source)) {
      if (override !== undefined) merged[field] = override;
    }
  }
  return merged;
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  (error) => failure('BL1002', describeError(error)),
);

/**
 * Loads a settings file, applies overrides and validates the result.
 *
 * @param sources - overrides; a later one takes precedence
 * @returns the settings; BL1001 if the file is unreadable, BL1002 if it is not JSON, BL1003 with all
 *   faults and their paths if it is not valid
 */
export function loadSettings(
  path: string,
  ...sources: readonly SettingsOverrides[]
): ResultAsync<Settings, Failure> {
  return ResultAsync.fromPromise(readFile(path, 'utf8'), (error) =>
    failure('BL1001', describeError(error)),
  )
    .andThen(parseJson)
    .andThen((value) => checkSettings(withOverrides(value, sources)));
}
