import { setTimeout as delay } from 'node:timers/promises';

import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Result } from 'neverthrow';

import type { AdminClient } from './adminClient.js';

/** Failures after which the same request is sent again. */
const retryableCodes: readonly string[] = ['BL2008', 'BL5001', 'BL5002'];
const maxAttempts = 20;
const retryDelayMs = 300;

/**
 * Sends an idempotent request, and resends it while its outcome is unknown; a resend gets the
 * answer to the first request.
 *
 * @param client - administration client
 * @param path - path of the administration API
 * @param body - signed body, the same for each attempt
 */
export async function postUntilOutcomeKnown(
  client: AdminClient,
  path: string,
  body: unknown,
): Promise<Result<unknown, Failure>> {
  for (let attempt = 1; ; attempt += 1) {
    const answer = await client.post(path, body);
    if (answer.isOk() || attempt === maxAttempts) return answer;
    if (!retryableCodes.includes(answer.error.code)) return answer;
    await delay(retryDelayMs);
  }
}
