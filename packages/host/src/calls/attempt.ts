import { isFinalStatus } from '@buckthornlug/core/calls/answerStatus.js';
import { endToEndFields, isSelfDelimited } from '@buckthornlug/core/calls/headerFields.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { CallSignal } from '@buckthornlug/protocol/steering/callSignal.js';
import type { CallOutcome } from '@buckthornlug/protocol/steering/placementTypes.js';
import type { Dispatcher } from 'undici';

import type { AnswerSink, AttemptResult } from './callTypes.js';
import { BodyError } from './bodyError.js';
import { CallAborted } from './callAborted.js';
import type { RequestBody } from './requestBody.js';

/** A refusal found in the head of an answer. */
export interface HeadRefusal {
  readonly failure: Failure;
  readonly result: 'notRun' | 'broken';
  readonly failedBackendId?: string;
}

/** Checks the head of an answer; undefined if the answer is to be passed on. */
export type CheckHead = (status: number, fields: readonly string[]) => HeadRefusal | undefined;

/** What one attempt of a call sends, where, and who receives the answer. */
export interface AttemptPlan {
  readonly dispatcher: Dispatcher;
  readonly method: string;
  readonly path: string;
  readonly fields: readonly string[];
  readonly body: RequestBody;
  readonly sink: AnswerSink;
  readonly checkHead: CheckHead;
  /** Result code if the exchange breaks: BL3006 for a backend server, BL3014 for a host. */
  readonly brokenCode: 'BL3006' | 'BL3014';
  readonly signal: CallSignal;
  /** Called just before the request is sent; false if its slot is no longer held, and nothing is sent. */
  readonly mayStart: () => boolean;
  readonly nowMs: () => number;
}

function toTextFields(rawHeaders: unknown): string[] {
  if (!Array.isArray(rawHeaders)) return [];
  return (rawHeaders as (Buffer | string)[]).map((part) =>
    typeof part === 'string' ? part : part.toString('latin1'),
  );
}

/** Codes of errors that mean that the receiver closed or reset the connection. */
const disconnectCodes: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET']);

/** Whether the receiver ended the exchange; otherwise this host did, for example on a malformed answer. */
function isClosedByReceiver(error: Error): boolean {
  return disconnectCodes.has((error as NodeJS.ErrnoException).code ?? '');
}

/** State of one attempt; handles the events of the HTTP client. */
class Attempt implements Dispatcher.DispatchHandler {
  private readonly startedAtMs: number;

  private requestStarted = false;

  /** Whether this host ended the exchange, so that its receiver may still work on the call. */
  private isAbortedHere = false;

  private answerStarted = false;

  private status: number | undefined;

  private refusal: HeadRefusal | undefined;

  private controller: Dispatcher.DispatchController | undefined;

  private isDone = false;

  constructor(
    private readonly plan: AttemptPlan,
    private readonly done: (result: AttemptResult) => void,
  ) {
    this.startedAtMs = plan.nowMs();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.plan.signal.aborted) {
      controller.abort(this.plan.signal.reason as Error);
      return;
    }
    if (!this.plan.mayStart()) {
      controller.abort(new Error('the slot is no longer held'));
      return;
    }
    this.requestStarted = true;
  }

  onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
    if (status < 200) return;
    this.status = status;
    const fields = toTextFields(controller.rawHeaders);
    this.refusal =
      this.refuseOddStatus(status) ??
      this.plan.checkHead(status, fields) ??
      this.refuseUndelimited(status, fields);
    if (this.refusal !== undefined) {
      if (this.refusal.result === 'broken')
        this.abortExchange(controller, new Error('answer refused'));
      return;
    }
    this.answerStarted = true;
    this.plan.sink.start(status, endToEndFields(fields));
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.refusal !== undefined || this.isDone) return;
    if (this.plan.sink.write(chunk)) return;
    controller.pause();
    this.plan.sink.onDrain(() => controller.resume());
  }

  onResponseEnd(): void {
    if (this.refusal !== undefined) {
      this.finish(this.refusal.result, this.refusal.failure);
      return;
    }
    if (this.isDone) return;
    this.plan.sink.end();
    this.finish('answered');
  }

  onResponseError(_controller: unknown, error: Error): void {
    if (!isClosedByReceiver(error)) this.isAbortedHere = true;
    if (this.refusal !== undefined) {
      this.finish(this.refusal.result, this.refusal.failure);
      return;
    }
    if (error instanceof CallAborted) {
      this.finishAborted(error);
      return;
    }
    if (!this.requestStarted) {
      this.finish('notRun', failure('BL3003', `not connected: ${error.message}`));
      return;
    }
    if (error instanceof BodyError) {
      this.finish('cancelled', error.failure);
      return;
    }
    this.finish('broken', failure(this.plan.brokenCode, error.message));
  }

  /** Ends the attempt when its signal is aborted. */
  abort(reason: CallAborted): void {
    this.isAbortedHere = true;
    this.controller?.abort(reason);
    this.finishAborted(reason);
  }

  private abortExchange(controller: Dispatcher.DispatchController, reason: Error): void {
    this.isAbortedHere = true;
    controller.abort(reason);
  }

  private refuseOddStatus(status: number): HeadRefusal | undefined {
    if (isFinalStatus(status)) return undefined;
    const problem = failure(this.plan.brokenCode, `status ${status} is no answer`);
    return { failure: problem, result: 'broken' };
  }

  private refuseUndelimited(status: number, fields: readonly string[]): HeadRefusal | undefined {
    if (isSelfDelimited(this.plan.method, status, fields)) return undefined;
    return {
      failure: failure(
        'BL3020',
        `answer with status ${status} has neither a length nor a chunked coding`,
      ),
      result: 'broken',
    };
  }

  private finishAborted(reason: CallAborted): void {
    if (reason.result === 'cancelled') {
      this.finish('cancelled', failure('BL3017', 'the caller closed the connection'));
      return;
    }
    if (reason.result === 'outpaced') {
      this.finish('outpaced', failure('BL3017', 'another attempt answered first'));
      return;
    }
    const code = this.requestStarted ? 'BL3005' : 'BL3004';
    this.finish('timedOut', failure(code, 'the deadline passed'));
  }

  private finish(result: CallOutcome['result'], problem?: Failure): void {
    if (this.isDone) return;
    this.isDone = true;
    this.done({
      outcome: {
        result,
        elapsedMs: this.plan.nowMs() - this.startedAtMs,
        ...(this.isAbortedHere && this.requestStarted ? { isAbortedAfterSend: true } : {}),
        ...(this.status === undefined ? {} : { status: this.status }),
      },
      answerStarted: this.answerStarted,
      requestStarted: this.requestStarted,
      ...(problem === undefined ? {} : { failure: problem }),
      ...(this.refusal?.failedBackendId === undefined
        ? {}
        : { failedBackendId: this.refusal.failedBackendId }),
    });
  }
}

/**
 * Sends a call once and streams the answer to its sink.
 *
 * @returns result of the attempt; never rejects
 */
export function runAttempt(plan: AttemptPlan): Promise<AttemptResult> {
  return new Promise((resolve) => {
    let onAbort = (): void => undefined;
    const attempt = new Attempt(plan, (result) => {
      plan.signal.removeEventListener('abort', onAbort);
      resolve(result);
    });
    onAbort = () => attempt.abort(plan.signal.reason as CallAborted);
    plan.signal.addEventListener('abort', onAbort);
    plan.dispatcher.dispatch(
      {
        method: plan.method,
        path: plan.path,
        headers: plan.fields as string[],
        body: plan.body.form === 'whole' ? plan.body.bytes : plan.body.open(),
        headersTimeout: 0,
        bodyTimeout: 0,
      },
      attempt,
    );
  });
}
