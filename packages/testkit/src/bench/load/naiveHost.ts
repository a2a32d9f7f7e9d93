import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';

import { announcementSchema } from '@buckthornlug/protocol/announce/announceSchema.js';
import { announcePath } from '@buckthornlug/protocol/calls/callHeaders.js';
import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import { originOf } from '@buckthornlug/host/rpc/peerClients.js';
import { Agent, request } from 'undici';

import type { NaivePolicy } from './loadTypes.js';

/** The baseline of the load benches: a host without leases, ranks or queues, which retries thrice. */

const maxAttempts = 4;
const announceRenewMs = 500;
const forgetAfterMs = 2000;
const firstErrorStatus = 500;

interface NaiveBackend {
  readonly endpoint: Endpoint;
  readonly service: string;
  reportedInFlight: number;
  seenAtMs: number;
}

/** Settings of a naive host. */
export interface NaiveHostOptions {
  readonly callers: Endpoint;
  readonly hostId: string;
  readonly policy: NaivePolicy;
  readonly document: SteeringDocument;
}

async function readBody(incoming: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of incoming) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
}

/** A host that picks backend servers in turn, or the less loaded of two by their reports. */
class NaiveHost {
  private readonly backends = new Map<string, NaiveBackend>();

  private readonly agent = new Agent({ connections: 512 });

  private readonly services = new Map<string, string>();

  private turn = 0;

  constructor(private readonly options: NaiveHostOptions) {
    for (const [service, { hostNames }] of Object.entries(options.document.services)) {
      for (const hostName of hostNames) this.services.set(hostName, service);
    }
  }

  async serve(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(incoming);
    if (incoming.url === announcePath) {
      this.announce(body, response);
      return;
    }
    await this.call(incoming, body, response);
  }

  private announce(body: Buffer, response: ServerResponse): void {
    const { backendId, endpoint, service, inFlight, state } = announcementSchema.parse(
      JSON.parse(body.toString()),
    );
    const seenAtMs = performance.now();
    if (state === 'ready') {
      const reportedInFlight = inFlight ?? 0;
      this.backends.set(backendId, { endpoint, service, reportedInFlight, seenAtMs });
    } else this.backends.delete(backendId);
    const { hostId, callers } = this.options;
    const reply = { hostId, token: 'none', renewAfterMs: announceRenewMs, leaseMs: forgetAfterMs };
    response.end(JSON.stringify({ ...reply, announceTo: callers }));
  }

  private pick(service: string): NaiveBackend | undefined {
    const oldestMs = performance.now() - forgetAfterMs;
    const usable = [...this.backends.values()].filter(
      (backend) => backend.service === service && backend.seenAtMs > oldestMs,
    );
    this.turn += 1;
    if (this.options.policy === 'roundRobin') return usable[this.turn % usable.length];
    const one = usable[Math.floor(Math.random() * usable.length)];
    const other = usable[Math.floor(Math.random() * usable.length)];
    if (one === undefined || other === undefined) return one;
    return one.reportedInFlight <= other.reportedInFlight ? one : other;
  }

  private async call(
    incoming: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): Promise<void> {
    const service = this.services.get(incoming.headers.host ?? '') ?? '';
    const abort = new AbortController();
    response.once('close', () => abort.abort());
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      const backend = this.pick(service);
      if (backend === undefined) break;
      const answer = await request(`${originOf(backend.endpoint)}${incoming.url}`, {
        dispatcher: this.agent,
        method: incoming.method as 'GET',
        body: body.length > 0 ? body : null,
        signal: abort.signal,
      }).catch(() => undefined);
      if (abort.signal.aborted) return;
      if (answer === undefined) continue;
      const bytes = Buffer.from(await answer.body.arrayBuffer());
      if (answer.statusCode >= firstErrorStatus) continue;
      response.writeHead(answer.statusCode, { 'content-length': bytes.length }).end(bytes);
      return;
    }
    response.writeHead(503, { 'content-length': 0 }).end();
  }
}

/**
 * Starts a naive host.
 *
 * @param options - address, policy and document
 */
export function startNaiveHost(options: NaiveHostOptions): Promise<void> {
  const host = new NaiveHost(options);
  const server = createServer((incoming, response) => {
    host.serve(incoming, response).catch(() => response.destroy());
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.callers.port, options.callers.address, () => resolve());
  });
}
