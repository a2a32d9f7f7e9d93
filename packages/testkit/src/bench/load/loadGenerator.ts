import { setTimeout as delay } from 'node:timers/promises';

import { lookupPath, resultCodeHeader } from '@buckthornlug/protocol/calls/callHeaders.js';
import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import { lookupReplySchema } from '@buckthornlug/protocol/lookup/lookupSchema.js';
import { originOf } from '@buckthornlug/host/rpc/peerClients.js';
import { Agent, request } from 'undici';

import { createSeededRandom, exponential } from '../../fakes/seededRandom.js';
import type { CallStream, LoadPlan, StreamResult } from './loadTypes.js';

/** Callers hang up after this many targets. */
const hangUpTargets = 3;
const connectionsPerHost = 2048;
const refreshLookupMs = 1000;
const msPerS = 1000;

interface Tally {
  offered: number;
  answered: number;
  insideTarget: number;
  hungUp: number;
  broken: number;
  readonly refused: Record<string, number>;
  readonly latenciesMs: number[];
  readonly startLagsMs: number[];
}

/** Callers of one stream. */
class StreamLoad {
  private readonly tally: Tally = {
    offered: 0,
    answered: 0,
    insideTarget: 0,
    hungUp: 0,
    broken: 0,
    refused: {},
    latenciesMs: [],
    startLagsMs: [],
  };

  private readonly random;

  private hosts: readonly Endpoint[];

  private turn = 0;

  private readonly pending = new Set<Promise<void>>();

  constructor(
    private readonly stream: CallStream,
    private readonly plan: LoadPlan,
    private readonly agent: Agent,
    seed: number,
  ) {
    this.random = createSeededRandom(seed);
    this.hosts = stream.hosts;
  }

  async run(startMs: number): Promise<StreamResult> {
    const endMs = startMs + this.plan.durationMs;
    const gapMs = msPerS / this.stream.callsPerS;
    await this.lookUp();
    const refresh = setInterval(() => {
      this.lookUp().catch(() => undefined);
    }, refreshLookupMs);
    let nextMs = startMs + exponential(this.random, gapMs);
    while (nextMs < endMs) {
      const waitMs = nextMs - performance.now();
      if (waitMs > 0.5) await delay(waitMs);
      while (nextMs <= performance.now() && nextMs < endMs) {
        this.start(nextMs, nextMs >= startMs + this.plan.warmUpMs);
        nextMs += exponential(this.random, gapMs);
      }
    }
    clearInterval(refresh);
    await Promise.all(this.pending);
    const { service, kind, rank, availabilityZone, targetMs } = this.stream;
    return { service, kind, rank, availabilityZone, targetMs, ...this.tally };
  }

  private async lookUp(): Promise<void> {
    const { hosts, looksUp, service } = this.stream;
    if (!looksUp) return;
    for (const host of hosts) {
      const url = `${originOf(host)}${lookupPath}?service=${service}`;
      try {
        const reply = await request(url, { dispatcher: this.agent });
        const parsed = lookupReplySchema.parse(await reply.body.json());
        const [first] = parsed.hosts;
        if (first !== undefined) this.hosts = [first];
        return;
      } catch {
        continue;
      }
    }
  }

  private start(scheduledMs: number, isCounted: boolean): void {
    if (isCounted) {
      this.tally.offered += 1;
      this.tally.startLagsMs.push(performance.now() - scheduledMs);
    }
    const call = this.call(scheduledMs, isCounted).finally(() => this.pending.delete(call));
    this.pending.add(call);
  }

  private async call(scheduledMs: number, isCounted: boolean): Promise<void> {
    const { stream, tally } = this;
    this.turn += 1;
    const host = this.hosts[this.turn % this.hosts.length];
    if (host === undefined) return;
    const abort = new AbortController();
    const leftMs = scheduledMs + stream.targetMs * hangUpTargets - performance.now();
    const timer = setTimeout(() => abort.abort(), leftMs);
    try {
      const reply = await request(`${originOf(host)}${stream.path}`, {
        dispatcher: this.agent,
        method: stream.method as 'GET',
        headers: { host: stream.hostName },
        signal: abort.signal,
      });
      await reply.body.arrayBuffer();
      if (!isCounted) return;
      if (reply.statusCode !== 200) {
        const code = String(reply.headers[resultCodeHeader] ?? reply.statusCode);
        tally.refused[code] = (tally.refused[code] ?? 0) + 1;
        return;
      }
      const latencyMs = performance.now() - scheduledMs;
      tally.answered += 1;
      if (latencyMs <= stream.targetMs) tally.insideTarget += 1;
      tally.latenciesMs.push(latencyMs);
    } catch {
      if (!isCounted) return;
      if (abort.signal.aborted) tally.hungUp += 1;
      else tally.broken += 1;
    } finally {
      clearTimeout(timer);
    }
  }
}

/**
 * Offers load: each stream is an open-loop Poisson process, and each call is timed from its scheduled
 * start.
 *
 * @param plan - streams and times
 */
export async function runLoad(plan: LoadPlan): Promise<StreamResult[]> {
  const agent = new Agent({ connections: connectionsPerHost, pipelining: 1 });
  const startMs = performance.now() + 50;
  const runs = plan.streams.map((stream, index) =>
    new StreamLoad(stream, plan, agent, plan.seed * 1000 + index).run(startMs),
  );
  const results = await Promise.all(runs);
  await agent.destroy();
  return results;
}
