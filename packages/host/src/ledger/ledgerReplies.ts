import type { LedgerReply } from '@buckthornlug/protocol/ledger/ledgerSchema.js';
import { failure, withEarlierCallsUnknown } from '@buckthornlug/protocol/results/failure.js';
import type { LedgerDecision } from '@buckthornlug/protocol/steering/ledgerTypes.js';

const retryAfterMs = 1000;

/** Builds the refusal of a call that was not started and whose identity was free. */
export function refuseNotStarted(detail: string): LedgerDecision {
  return { decision: 'refused', failure: failure('BL9001', detail, { retryAfterMs }) };
}

/** Builds the refusal of a call that was not started and whose identity could not be looked up. */
export function refuseNotLookedUp(detail: string): LedgerDecision {
  return {
    decision: 'refused',
    failure: withEarlierCallsUnknown(failure('BL9001', detail, { retryAfterMs })),
  };
}

/** Builds the refusal of a call whose work may have been started. */
export function refuseOutcomeUnknown(detail: string): LedgerDecision {
  return { decision: 'refused', failure: failure('BL9002', detail) };
}

/** Builds the refusal of a resend whose first attempt is still running. */
export function refuseStillRunning(): LedgerDecision {
  const detail = 'the first attempt has not ended';
  return { decision: 'refused', failure: failure('BL9005', detail, { retryAfterMs }) };
}

/**
 * Turns a reply to a begin command, or to a read of an identity, into the decision on the call.
 *
 * @returns the decision, or undefined if the first attempt is still running and the call must wait
 */
export function toLedgerDecision(
  reply: LedgerReply,
  intentId: string,
  group: string,
): LedgerDecision | undefined {
  if (reply.reply === 'running') return undefined;
  if (reply.reply === 'run') return { decision: 'run', intentId, group };
  if (reply.reply === 'replay') return { decision: 'replay', answer: reply.answer };
  // A host repeats its begin command only until it receives "run", so nothing was dispatched yet.
  if (reply.reply === 'unknown' && reply.ofOwnIntent === true) {
    return refuseNotStarted('the intent was declared lost before it was dispatched');
  }
  if (reply.reply === 'unknown') return refuseOutcomeUnknown('no outcome was recorded in time');
  if (reply.reply === 'answerNotKept') {
    return {
      decision: 'refused',
      failure: failure('BL9003', 'the answer was too large to store or is no longer stored'),
    };
  }
  if (reply.reply === 'otherRequest') {
    const detail = 'method, path or body differ from the first request';
    return { decision: 'refused', failure: failure('BL9004', detail) };
  }
  if (reply.reply === 'refused') {
    const detail = `the ledger refused the intent: ${reply.reason}`;
    // A full ledger has looked up the identity; an intent that arrives too late is refused without it.
    return reply.reason === 'full' ? refuseNotStarted(detail) : refuseNotLookedUp(detail);
  }
  return refuseOutcomeUnknown(`the ledger answered "${reply.reply}" to a begin command`);
}
