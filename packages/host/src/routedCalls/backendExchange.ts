import { request as sendRequest, type IncomingMessage } from 'node:http';
import type { Readable } from 'node:stream';

import { isFinalStatus } from '@buckthornlug/core/calls/answerStatus.js';
import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { CallSignal } from '@buckthornlug/protocol/steering/callSignal.js';

import { BodyError } from '../calls/bodyError.js';
import { AnswerBuffer } from './answerBuffer.js';
import type { BackendAgent } from './backendConnections.js';

/** One exchange with a backend server: a request, and its answer or why there is none. */

/** Answers up to this size are buffered whole before they are passed on. Larger ones are streamed. */
const maxBufferedBytes = 256 * 1024;
/** Informational answers before the final one after which a backend server counts as faulty. */
const maxInformationalAnswers = 8;

/**
 * Bytes behind the head of an answer that may be no body: chunk sizes and the like. The HTTP parser limits
 * each of them but the zeros that may precede a chunk size, which a faulty backend server can send
 * without end.
 */
const maxFramingBytes = 256 * 1024;
/** Bytes behind the head for each byte of the body; chunks of one byte take six. */
const maxBytesPerBodyByte = 16;

/** The backend server was taken out of use, or the call has ended: its caller left, or its time is over. */
export type SendObstacle = 'outOfUse' | 'callEnded';

/** A request to a backend server. */
export interface ExchangePlan {
  readonly agent: BackendAgent;
  readonly endpoint: Endpoint;
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly fields: readonly string[];
  readonly body: Buffer | Readable | null;
  /** Time limit for opening a new connection; if it passes, nothing was sent. */
  readonly connectTimeoutMs: number;
  readonly signal: Pick<CallSignal, 'addEventListener' | 'removeEventListener'>;
  /** Called when a new connection is open, with the time that it took. */
  readonly onConnected: (connectMs: number) => void;
  /** Why the request may not be sent any more; asked right before its first byte, on each connection. */
  readonly findSendObstacle: () => SendObstacle | undefined;
  /**
   * Whether an answer belongs to the request. On a connection that has carried other requests it may be one
   * of their answers, written again.
   */
  readonly isAnswerToRequest: (head: AnswerHead, isReusedConnection: boolean) => boolean;
  readonly nowMs: () => number;
}

/** Head of an answer. */
export interface AnswerHead {
  readonly status: number;
  readonly fields: readonly string[];
}

/** How an exchange ended. */
export type ExchangeResult =
  /** Nothing was sent. */
  | { readonly end: 'notSent'; readonly problem: string }
  /** The complete answer was received. */
  | { readonly end: 'answered'; readonly head: AnswerHead; readonly body: Buffer }
  /** The head was received; the body is streamed. */
  | {
      readonly end: 'streaming';
      readonly head: AnswerHead;
      readonly rest: Readable;
      /** Whether the body was received completely; to be asked once `rest` has ended. */
      readonly isComplete: () => boolean;
    }
  /** The request was sent, but no complete answer was received. */
  | { readonly end: 'broken'; readonly problem: string }
  /** The caller did not send the whole body of the request. */
  | { readonly end: 'bodyFailed'; readonly failure: Failure }
  /** This host aborted the exchange. */
  | { readonly end: 'aborted'; readonly wasSent: boolean };

/** Times of one exchange. */
export interface ExchangeTimes {
  /** Time taken to open the connection; 0 if an open one was reused. */
  readonly connectMs: number;
  readonly isNewConnection: boolean;
}

/** State of one exchange. */
class Exchange {
  private isConnected = false;

  private connectMs = 0;

  private isDone = false;

  private answer: IncomingMessage | undefined;

  private connectTimer: NodeJS.Timeout | undefined;

  private readonly startedAtMs: number;

  private readonly request;

  constructor(
    private readonly plan: ExchangePlan,
    private readonly onFinished: (result: ExchangeResult, times: ExchangeTimes) => void,
  ) {
    this.startedAtMs = plan.nowMs();
    const { agent, endpoint, method, path, fields } = plan;
    this.request = sendRequest({
      agent,
      host: endpoint.address,
      port: endpoint.port,
      method,
      path,
      headers: fields as string[],
      setHost: false,
    });
  }

  /** Sends the request. */
  start(): void {
    const { plan } = this;
    this.request.setNoDelay(true);
    this.request.on('socket', (socket) => {
      if (!socket.connecting) {
        this.beginToSend();
        return;
      }
      this.connectTimer = setTimeout(
        () => this.request.destroy(new Error('the connection was not established in time')),
        plan.connectTimeoutMs,
      );
      socket.once('connect', () => {
        clearTimeout(this.connectTimer);
        this.connectMs = plan.nowMs() - this.startedAtMs;
        plan.onConnected(this.connectMs);
        this.beginToSend();
      });
    });
    let informationalAnswers = 0;
    this.request.on('information', () => {
      informationalAnswers += 1;
      if (informationalAnswers <= maxInformationalAnswers) return;
      this.request.destroy(new Error('informational answers without end'));
    });
    this.request.on('response', (answer) => this.receiveAnswer(answer));
    this.request.on('error', (error) => {
      // Bytes behind a complete answer belong to no request; the answer itself is still delivered.
      if (this.answer?.complete !== true) this.fail(error.message);
    });
    plan.signal.addEventListener('abort', this.onAbort);
    if (plan.body === null || Buffer.isBuffer(plan.body)) this.request.end(plan.body ?? undefined);
    else this.sendStream(plan.body);
  }

  /** Runs when the connection can take the request, before Node.js writes its first byte. */
  private beginToSend(): void {
    const obstacle = this.plan.findSendObstacle();
    if (obstacle === undefined) {
      this.isConnected = true;
      return;
    }
    if (obstacle === 'callEnded') this.finish({ end: 'aborted', wasSent: false });
    this.request.destroy(new Error('it was taken out of use before the request was sent'));
  }

  /** The body ends with an error if the caller leaves within it, sends too much or pauses for too long. */
  private sendStream(body: Readable): void {
    body.on('error', (error) => {
      const problem = error instanceof BodyError ? error.failure : failure('BL3019', error.message);
      this.finish({ end: 'bodyFailed', failure: problem });
      // The backend server must not take other bytes for the rest of this body.
      this.request.destroy();
    });
    this.request.once('close', () => body.destroy());
    body.pipe(this.request);
  }

  private readonly onAbort = (): void => {
    const wasSent = this.isConnected;
    this.finish({ end: 'aborted', wasSent });
    // Unlike a close, a reset drops the bytes that have not left this host.
    if (wasSent) this.request.socket?.resetAndDestroy();
    this.request.destroy();
  };

  private fail(problem: string): void {
    if (this.isConnected) this.finish({ end: 'broken', problem });
    else this.finish({ end: 'notSent', problem });
  }

  private receiveAnswer(answer: IncomingMessage): void {
    this.answer = answer;
    const head = { status: answer.statusCode ?? 0, fields: answer.rawHeaders };
    if (!isFinalStatus(head.status)) {
      this.finish({ end: 'broken', problem: `status ${head.status} is no answer` });
      this.request.destroy();
      return;
    }
    if (!this.plan.isAnswerToRequest(head, this.request.reusedSocket)) {
      this.finish({ end: 'broken', problem: 'the answer belongs to another request' });
      this.request.destroy();
      return;
    }
    const { socket } = answer;
    const buffer = new AnswerBuffer();
    let hasSocketFailed = false;
    const onSocketError = () => {
      hasSocketFailed = true;
    };
    this.plan.agent.recordKeepAliveTimeout(socket, head.fields);
    // libuv reports a reset that comes with the last bytes as an end; the socket has no peer then.
    const onSocketEnd = () => {
      hasSocketFailed ||= socket.remoteAddress === undefined;
    };
    let bytesBehindHead = 0;
    const onSocketData = (chunk: Buffer) => {
      bytesBehindHead += chunk.length;
      if (this.isDone) return;
      if (bytesBehindHead <= maxFramingBytes + maxBytesPerBodyByte * buffer.length) return;
      this.request.destroy(new Error('bytes without end that belong to no body'));
    };
    // It runs after the parser, which has delivered the part of the body by then.
    socket.on('data', onSocketData);
    // Both must run before the HTTP parser handles the end, since it takes a reset for an end.
    socket.prependListener('error', onSocketError);
    socket.prependListener('end', onSocketEnd);
    answer.on('data', (chunk: Buffer) => {
      buffer.add(chunk);
      if (buffer.length <= maxBufferedBytes || this.isDone) return;
      answer.removeAllListeners('data');
      answer.pause();
      answer.unshift(buffer.toBuffer());
      const isComplete = () => answer.complete && !hasSocketFailed;
      this.finish({ end: 'streaming', head, rest: answer, isComplete });
    });
    answer.on('end', () => {
      this.plan.signal.removeEventListener('abort', this.onAbort);
      const isComplete = answer.complete && !hasSocketFailed;
      if (!isComplete) this.finish({ end: 'broken', problem: 'the answer was truncated' });
      else this.finish({ end: 'answered', head, body: buffer.toBuffer() });
    });
    answer.on('error', (error) => this.finish({ end: 'broken', problem: error.message }));
    answer.once('close', () => {
      this.plan.signal.removeEventListener('abort', this.onAbort);
      socket.off('error', onSocketError);
      socket.off('end', onSocketEnd);
      socket.off('data', onSocketData);
      this.finish({ end: 'broken', problem: 'the answer was truncated' });
    });
  }

  private finish(result: ExchangeResult): void {
    if (this.isDone) return;
    this.isDone = true;
    clearTimeout(this.connectTimer);
    if (result.end !== 'streaming') this.plan.signal.removeEventListener('abort', this.onAbort);
    const isNewConnection = !this.request.reusedSocket && this.isConnected;
    this.onFinished(result, { connectMs: this.connectMs, isNewConnection });
  }
}

/**
 * Sends a request to a backend server and waits for the answer.
 *
 * @returns how the exchange ended, and its times; never rejects
 */
export function exchange(
  plan: ExchangePlan,
): Promise<{ readonly result: ExchangeResult; readonly times: ExchangeTimes }> {
  return new Promise((resolve) => {
    try {
      new Exchange(plan, (result, times) => resolve({ result, times })).start();
    } catch (error) {
      // Node.js refuses some header values and paths when the request is created.
      const result = { end: 'notSent', problem: String(error) } as const;
      resolve({ result, times: { connectMs: 0, isNewConnection: false } });
    }
  });
}
