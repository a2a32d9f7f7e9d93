import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { resultCodes } from '@buckthornlug/protocol/results/resultCodes.js';
import { err, ok, type Result } from 'neverthrow';
import { request } from 'undici';
import { z } from 'zod';

/** Access to the administration API of one of several hosts. */
export interface AdminClient {
  readonly get: (path: string) => Promise<Result<unknown, Failure>>;
  readonly post: (path: string, body: unknown) => Promise<Result<unknown, Failure>>;
}

const resultCodeNames = Object.keys(resultCodes) as [keyof typeof resultCodes];

const failureBodySchema = z.object({
  failure: z.object({
    code: z.enum(resultCodeNames),
    detail: z.string(),
    faults: z.array(z.object({ path: z.string(), problem: z.string() })).optional(),
    retryAfterMs: z.number().optional(),
  }),
});

const responseTimeoutMs = 60_000;

interface ApiRequest {
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
}

async function requestFromHost(
  address: string,
  apiRequest: ApiRequest,
): Promise<Result<unknown, Failure>> {
  const response = await request(new URL(apiRequest.path, address), {
    method: apiRequest.method,
    headersTimeout: responseTimeoutMs,
    bodyTimeout: responseTimeoutMs,
    ...(apiRequest.body === undefined
      ? {}
      : { body: apiRequest.body, headers: { 'content-type': 'application/json' } }),
  });
  const value: unknown = await response.body.json();
  if (response.statusCode < 400) return ok(value);
  const parsed = failureBodySchema.safeParse(value);
  if (parsed.success) return err(parsed.data.failure);
  return err(failure('BL6003', `${address} answered with status ${response.statusCode}`));
}

async function requestFromFirstReachable(
  addresses: readonly string[],
  apiRequest: ApiRequest,
): Promise<Result<unknown, Failure>> {
  const problems: string[] = [];
  for (const address of addresses) {
    try {
      return await requestFromHost(address, apiRequest);
    } catch (error) {
      problems.push(`${address}: ${error instanceof Error ? error.message : String(error)}`);
    }
  }
  return err(failure('BL6003', `no host answered: ${problems.join('; ')}`));
}

/**
 * Creates a client that tries the hosts in order until one answers. Requests that change state must
 * be idempotent: if an answer is lost, the next host gets the same request.
 *
 * @param addresses - base addresses, such as `http://127.0.0.1:7003`
 */
export function createAdminClient(addresses: readonly string[]): AdminClient {
  return {
    get: (path) => requestFromFirstReachable(addresses, { method: 'GET', path }),
    post: (path, body) =>
      requestFromFirstReachable(addresses, { method: 'POST', path, body: JSON.stringify(body) }),
  };
}
