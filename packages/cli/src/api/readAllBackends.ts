import {
  backendsReplySchema,
  type BackendsReply,
} from '@buckthornlug/protocol/admin/adminSchema.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import { ok, type Result } from 'neverthrow';

import type { AdminClient } from './adminClient.js';

/**
 * Reads all pages of `GET /v1/backends`.
 *
 * @param client - access to the administration API
 * @returns the backend servers of all pages, and each host that did not answer for one of them
 */
export async function readAllBackends(
  client: Pick<AdminClient, 'get'>,
): Promise<Result<BackendsReply, Failure>> {
  const backends: BackendsReply['backends'] = [];
  const missingHosts = new Set<string>();
  let path = '/v1/backends';
  for (;;) {
    const answer = await client.get(path);
    const page = answer.map((value) => backendsReplySchema.parse(value));
    if (page.isErr()) return page;
    backends.push(...page.value.backends);
    for (const hostId of page.value.missingHosts) missingHosts.add(hostId);
    if (page.value.next === undefined) return ok({ backends, missingHosts: [...missingHosts] });
    path = `/v1/backends?after=${encodeURIComponent(page.value.next)}`;
  }
}
