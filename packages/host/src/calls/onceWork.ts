import { createHash } from 'node:crypto';

import {
  failure,
  withEarlierCallsUnknown,
  type Failure,
} from '@buckthornlug/protocol/results/failure.js';
import type { CallSignal } from '@buckthornlug/protocol/steering/callSignal.js';
import type { LedgerDecision, LedgerKey } from '@buckthornlug/protocol/steering/ledgerTypes.js';

import type { HostParts } from '../runtime/hostParts.js';
import { createStoringSink, sendStored } from './answerSinks.js';
import { toPendingCall, type RunCall, type RunResult } from './callRunner.js';
import type { AcceptedCall } from './callTypes.js';
import type { RequestBody } from './requestBody.js';

/** Maximum size of an answer body that is stored for resends. */
const maxStoredAnswerBytes = 1024 * 1024;

/** A body that is buffered completely. */
type WholeBody = Extract<RequestBody, { readonly form: 'whole' }>;

/**
 * Finds the identity of a once-only call. Undefined if the call has none, and for forwarded calls,
 * whose identity the forwarding host has already recorded.
 */
export function findIdentity(call: AcceptedCall): string | undefined {
  const { kind } = call.callClass;
  if (call.origin !== 'caller') return undefined;
  if (kind.execution !== 'once' || kind.identity === undefined) return undefined;
  const identity = call.request.headers[kind.identity.header];
  if (typeof identity !== 'string' || identity === '') return undefined;
  return identity;
}

/**
 * Adjusts a refusal that is sent before the ledger was consulted. For a call with an identity, the
 * refusal must not claim that the work did not run, as an earlier call with that identity may have run it.
 */
export function toRefusalBeforeLedger(call: AcceptedCall, problem: Failure): Failure {
  return findIdentity(call) === undefined ? problem : withEarlierCallsUnknown(problem);
}

function createLedgerKey(call: AcceptedCall, identity: string, body: WholeBody): LedgerKey {
  const { service, kind } = call.callClass;
  const digest = createHash('sha256');
  digest.update(`${call.request.method}\n${call.request.url}\n`);
  if (body.bytes !== null) digest.update(body.bytes);
  return {
    service,
    kind: kind.id,
    identity,
    requestDigest: digest.digest('base64url'),
  };
}

/** Dependencies of once-only calls. */
export interface OnceWorkParts {
  readonly parts: HostParts;
  readonly runCall: RunCall;
}

/** A once-only call with its ledger key. */
interface OnceCall {
  readonly call: AcceptedCall;
  readonly key: LedgerKey;
  readonly body: WholeBody;
  readonly signal: CallSignal;
  readonly extraFields: readonly string[];
}

/** Commits the outcome, then sends the answer; returns the failure to send instead, if any. */
async function finishOnce(
  work: OnceWorkParts,
  call: AcceptedCall,
  intentId: string,
  result: RunResult,
  sink: ReturnType<typeof createStoringSink>,
  extraFields: readonly string[],
): Promise<Failure | undefined> {
  const { ledger } = work.parts;
  if (result.failure === undefined) {
    const answer = sink.stored();
    const finished = await ledger.finish(intentId, { outcome: 'answered', answer });
    if (finished.isErr()) return failure('BL9002', finished.error.detail);
    if (answer.bodyBase64 === undefined)
      return failure('BL9003', 'the answer was too large to store');
    sink.sendTo(call.response, extraFields);
    return undefined;
  }
  if (result.isNotRun) {
    await ledger.finish(intentId, { outcome: 'notRun' });
    return result.failure;
  }
  await ledger.finish(intentId, { outcome: 'unknown' });
  return failure('BL9002', result.failure.detail);
}

/**
 * Decides by a ledger read, which costs no commit, on a call whose refusal is forecast. Undefined if the
 * call must go on to commit its intent.
 */
async function decideWithoutCommit(
  { parts }: OnceWorkParts,
  call: AcceptedCall,
  key: LedgerKey,
  forecastRefusal: Failure | undefined,
): Promise<LedgerDecision | undefined> {
  if (forecastRefusal === undefined) return undefined;
  const found = await parts.ledger.find(key, call.callClass.kind.ledgerGroups);
  if (found === 'running') return undefined;
  if (found === 'free') return { decision: 'refused', failure: forecastRefusal };
  if (found === 'notKnown')
    return { decision: 'refused', failure: withEarlierCallsUnknown(forecastRefusal) };
  return found;
}

/** Runs a call after the early admission check, which may have forecast its refusal. */
async function runAfterForecast(
  work: OnceWorkParts,
  once: OnceCall,
  forecastRefusal: Failure | undefined,
): Promise<Failure | undefined> {
  const { call, key, body, signal, extraFields } = once;
  const { ledger } = work.parts;
  const decision =
    (await decideWithoutCommit(work, call, key, forecastRefusal)) ??
    (await ledger.begin(key, call.callClass.kind.ledgerGroups, call.deadlineAtMs));
  if (decision.decision === 'refused') return decision.failure;
  if (decision.decision === 'replay') {
    if (decision.answer.bodyBase64 === undefined) {
      return failure('BL9003', 'the body of the answer is not stored');
    }
    sendStored(call.response, decision.answer, extraFields);
    return undefined;
  }
  const sink = createStoringSink(maxStoredAnswerBytes);
  const result = await work.runCall(call, body, sink, signal);
  return finishOnce(work, call, decision.intentId, result, sink, extraFields);
}

/**
 * Runs a once-only call: commits the intent before the dispatch and the outcome before the answer. A
 * call that would get no placement is refused before its intent is committed, unless its identity is
 * already recorded.
 *
 * @param signal - aborted when the deadline passes
 * @param extraFields - header fields to add to the answer, names and values in turn
 * @returns the failure to send, or undefined if an answer was sent
 */
export async function runOnce(
  work: OnceWorkParts,
  call: AcceptedCall,
  identity: string,
  body: WholeBody,
  signal: CallSignal,
  extraFields: readonly string[],
): Promise<Failure | undefined> {
  const key = createLedgerKey(call, identity, body);
  const forecast = await work.parts.forecastAdmission(
    toPendingCall(call, 0, call.excluded, signal),
  );
  try {
    const once = { call, key, body, signal, extraFields };
    return await runAfterForecast(work, once, forecast.failure);
  } finally {
    forecast.end();
  }
}
