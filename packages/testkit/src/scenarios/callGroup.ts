import { setTimeout as delay } from 'node:timers/promises';

import { executionHeader } from '@buckthornlug/protocol/calls/callHeaders.js';
import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import { Agent, request } from 'undici';

import { createSeededRandom, exponential } from '../fakes/seededRandom.js';
import { identityHeader, scenarioKinds, scenarioServices } from './scenarioDocument.js';
import type { StepOf } from './scenarioSchema.js';

/** Figures of a group of calls. */
export interface CallFigures {
  sent: number;
  answered: number;
  refused: number;
  broken: number;
  /** Answers that belong to another request. */
  foreign: number;
  /** Calls answered within the target. */
  inTarget: number;
  /** Last truth that a refusal stated for each identity. */
  readonly truthOf: Map<string, string>;
  readonly answeredIdentities: Set<string>;
  /** Result codes of refusals and how often each came. */
  readonly codes: Map<string, number>;
}

/** Calls of one kind that are sent at Poisson arrivals. */
export interface CallGroup {
  readonly figures: CallFigures;
  /** Resolves when every call has ended. */
  readonly done: Promise<void>;
}

const attemptTimeoutMs = 4000;
const maxAttempts = 8;
const resendDelayMs = 200;

type CallStep = StepOf<'call'>;

function kindOf(step: CallStep) {
  return scenarioKinds[step.kind as keyof typeof scenarioKinds];
}

/** What one attempt came to. */
type AttemptResult = 'answered' | 'refused' | 'broken';

interface GroupState {
  readonly step: CallStep;
  readonly figures: CallFigures;
  readonly agent: Agent;
  readonly hosts: readonly Endpoint[];
}

async function attemptCall(
  state: GroupState,
  identity: string,
  host: Endpoint,
): Promise<AttemptResult> {
  const { step, figures } = state;
  const kind = kindOf(step);
  const path = `${kind.path}/${identity}`;
  const hostName = scenarioServices[step.service as keyof typeof scenarioServices];
  try {
    const reply = await request(`http://${host.address}:${host.port}${path}`, {
      method: kind.method,
      dispatcher: state.agent,
      headers: { host: hostName, [identityHeader]: identity },
      body: kind.method === 'POST' ? `{"order":"${identity}"}` : null,
      headersTimeout: attemptTimeoutMs,
      bodyTimeout: attemptTimeoutMs,
    });
    const text = await reply.body.text();
    if (reply.statusCode < 400) {
      if (!text.includes(path)) figures.foreign += 1;
      return 'answered';
    }
    const truth = reply.headers[executionHeader];
    const code = String(reply.headers['x-buckthornlug-code'] ?? reply.statusCode);
    figures.codes.set(code, (figures.codes.get(code) ?? 0) + 1);
    if (typeof truth === 'string') figures.truthOf.set(identity, truth);
    return 'refused';
  } catch {
    figures.truthOf.set(identity, 'unknown');
    return 'broken';
  }
}

async function runCall(state: GroupState, identity: string, number: number): Promise<void> {
  const { step, figures, hosts } = state;
  const startedAtMs = performance.now();
  figures.sent += 1;
  let result: AttemptResult = 'broken';
  const attempts = step.resend ? maxAttempts : 1;
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    const host = hosts[(number + attempt) % hosts.length];
    if (host === undefined) break;
    result = await attemptCall(state, identity, host);
    if (result === 'answered') break;
    if (attempt + 1 < attempts) await delay(resendDelayMs);
  }
  figures[result] += 1;
  if (result !== 'answered') return;
  figures.answeredIdentities.add(identity);
  if (performance.now() - startedAtMs <= kindOf(step).targetMs) figures.inTarget += 1;
}

/**
 * Starts a group of calls.
 *
 * @param step - kind, rate and duration
 * @param hosts - callers listeners, the ones of the callers' zone first
 * @param localAddress - address that the callers use
 * @param seed - seed of the arrivals
 */
export function startCallGroup(
  step: CallStep,
  hosts: readonly Endpoint[],
  localAddress: string,
  seed: number,
): CallGroup {
  const figures: CallFigures = {
    sent: 0,
    answered: 0,
    refused: 0,
    broken: 0,
    foreign: 0,
    inTarget: 0,
    truthOf: new Map(),
    answeredIdentities: new Set(),
    codes: new Map(),
  };
  const agent = new Agent({ connections: 64, pipelining: 1, localAddress });
  const state: GroupState = { step, figures, agent, hosts };
  const random = createSeededRandom(seed);

  const sendAll = async () => {
    const running: Promise<void>[] = [];
    const startedAtMs = performance.now();
    let dueMs = 0;
    for (let number = 0; ; number += 1) {
      dueMs += exponential(random, 1000 / step.callsPerS);
      if (dueMs > step.forMs) break;
      const waitMs = startedAtMs + dueMs - performance.now();
      if (waitMs > 1) await delay(waitMs);
      const identity = `${step.name}-${number % (step.identities ?? Number.MAX_SAFE_INTEGER)}`;
      running.push(runCall(state, identity, number));
    }
    await Promise.all(running);
    await agent.close();
  };
  return { figures, done: sendAll() };
}
