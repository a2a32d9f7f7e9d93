import { fieldValue } from '@buckthornlug/core/calls/headerFields.js';
import type { ExchangeOutcome } from '@buckthornlug/core/placement/exchangeFeedback.js';
import type { CallFields } from '@buckthornlug/protocol/settings/settingsSchema.js';

import type { AnswerHead, ExchangeResult } from './backendExchange.js';
import type { RoutedCall } from './routedCallsTypes.js';

/** What an exchange says about the call and about the backend server. */

/** Status with which a process answers a request that names another backend server. */
export const misdirectedStatus = 421;
const minErrorStatus = 500;
/** Statuses that promise a caller that its call has not run and never will, beside 421. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 429, 503]);

/** Classifies an exchange for the health of the backend server; undefined if it says nothing. */
export function classifyExchange(
  call: RoutedCall,
  result: ExchangeResult,
  callFields: CallFields,
): ExchangeOutcome['end'] | undefined {
  if (result.end === 'notSent' || result.end === 'bodyFailed') return undefined;
  if (result.end === 'broken') return 'failed';
  if (result.end === 'aborted') {
    return result.wasSent && !call.hasCallerLeft() ? 'timedOut' : undefined;
  }
  const { status, fields: answerFields } = result.head;
  if (status === misdirectedStatus || status >= minErrorStatus) return 'failed';
  return fieldValue(answerFields, callFields.notRun) === undefined ? 'answered' : 'notRun';
}

/** Whether an answer says that the backend server did not run the call. */
export function claimsNotRun({ status, fields }: AnswerHead, callFields: CallFields): boolean {
  return status === misdirectedStatus || fieldValue(fields, callFields.notRun) !== undefined;
}

/**
 * Whether an answer would promise the caller that its call did not run, while the backend server says no
 * such thing.
 */
export function promisesWithoutProof(head: AnswerHead, callFields: CallFields): boolean {
  return notRunStatuses.has(head.status) && !claimsNotRun(head, callFields);
}
