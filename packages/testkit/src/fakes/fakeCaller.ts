import {
  executionHeader,
  lookupPath,
  resultCodeHeader,
} from '@buckthornlug/protocol/calls/callHeaders.js';
import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import { lookupReplySchema, type LookupReply } from '@buckthornlug/protocol/lookup/lookupSchema.js';
import { originOf } from '@buckthornlug/host/rpc/peerClients.js';
import { Agent, request, type Dispatcher } from 'undici';

const lookupTimeoutMs = 1000;

/** What a fake caller is. */
export interface FakeCallerOptions {
  /** Hosts that it asks for look-ups, as it was sold with them. */
  readonly hosts: readonly Endpoint[];
  readonly service: string;
  readonly hostName: string;
  /** Address that it calls from. */
  readonly address?: string;
  /** How often a call is sent in all. */
  readonly attempts: number;
  /** Time after which it hangs up. */
  readonly patienceMs: number;
}

/** One call of a fake caller. */
export interface CallerRequest {
  readonly method: Dispatcher.HttpMethod;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
}

/** How a call of a fake caller ended, after its resends. */
export interface CallerResult {
  /** `answered`, `refused`, `broken` (cut off or not connected) or `hungUp`. */
  readonly result: 'answered' | 'refused' | 'broken' | 'hungUp';
  readonly status?: number;
  readonly code?: string;
  readonly execution?: string;
  readonly body?: string;
  readonly hostId?: string;
  /** How each attempt ended: the result, or the code of a refusal. */
  readonly attempts: readonly string[];
  readonly elapsedMs: number;
}

/** A caller as it was sold years ago: caches look-ups, tries hosts in order and resends. */
export interface FakeCaller {
  readonly lookUp: () => Promise<LookupReply | undefined>;
  readonly call: (callerRequest: CallerRequest) => Promise<CallerResult>;
  readonly stop: () => Promise<void>;
}

function headerText(value: string | string[] | undefined): { text?: string } {
  return typeof value === 'string' ? { text: value } : {};
}

/** Sends a call once. */
async function sendOnce(
  agent: Agent,
  options: FakeCallerOptions,
  host: Endpoint,
  callerRequest: CallerRequest,
): Promise<Omit<CallerResult, 'attempts' | 'elapsedMs'>> {
  const signal = AbortSignal.timeout(options.patienceMs);
  try {
    const reply = await request(`${originOf(host)}${callerRequest.path}`, {
      dispatcher: agent,
      method: callerRequest.method,
      headers: { host: options.hostName, ...callerRequest.headers },
      body: callerRequest.body ?? null,
      signal,
    });
    const body = await reply.body.text();
    const { text: code } = headerText(reply.headers[resultCodeHeader]);
    const { text: execution } = headerText(reply.headers[executionHeader]);
    return {
      result: code === undefined ? 'answered' : 'refused',
      status: reply.statusCode,
      body,
      ...(code === undefined ? {} : { code }),
      ...(execution === undefined ? {} : { execution }),
    };
  } catch {
    return { result: signal.aborted ? 'hungUp' : 'broken' };
  }
}

/**
 * Creates a fake caller.
 *
 * @param options - hosts it knows, and its habits
 */
export function createFakeCaller(options: FakeCallerOptions): FakeCaller {
  const source = options.address === undefined ? {} : { localAddress: options.address };
  const agent = new Agent({ connections: 64, ...source });
  let cached: { readonly reply: LookupReply; readonly validUntilMs: number } | undefined;

  const lookUp = async (): Promise<LookupReply | undefined> => {
    if (cached !== undefined && cached.validUntilMs > performance.now()) return cached.reply;
    const known = [...(cached?.reply.hosts ?? []), ...options.hosts];
    for (const host of known) {
      try {
        const askedAtMs = performance.now();
        const answer = await request(`${originOf(host)}${lookupPath}?service=${options.service}`, {
          dispatcher: agent,
          signal: AbortSignal.timeout(lookupTimeoutMs),
        });
        const text = await answer.body.text();
        if (answer.statusCode !== 200) continue;
        const reply = lookupReplySchema.parse(JSON.parse(text));
        cached = { reply, validUntilMs: askedAtMs + reply.ttlMs };
        return reply;
      } catch {
        continue;
      }
    }
    return undefined;
  };

  return {
    lookUp,
    call: async (callerRequest) => {
      const startedAtMs = performance.now();
      let last: Omit<CallerResult, 'attempts' | 'elapsedMs'> = { result: 'broken' };
      const attempts: string[] = [];
      for (let number = 0; number < options.attempts; number += 1) {
        const reply = await lookUp();
        const hosts = reply?.hosts ?? [];
        const host = hosts[number % Math.max(1, hosts.length)];
        if (host === undefined) continue;
        last = { ...(await sendOnce(agent, options, host, callerRequest)), hostId: host.hostId };
        attempts.push(last.code ?? last.result);
        if (last.result === 'answered') break;
      }
      return { ...last, attempts, elapsedMs: performance.now() - startedAtMs };
    },
    stop: () => agent.destroy(),
  };
}
