import { Agent, type AgentOptions, type ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

import { fieldValue } from '@buckthornlug/core/calls/headerFields.js';

/** Kept connections to registered backend servers. */

/** Idle time after which a connection is given up where the backend server names no timeout. */
const defaultIdleTimeoutMs = 4000;
/** Time by which a connection is given up before the backend server would close it. */
const idleTimeoutMarginMs = 1000;
/** Interval of the probes of the operating system on an idle connection. */
const keepAliveProbeDelayMs = 1000;
/** Idle connections kept to one backend server. */
const maxFreeSockets = 8;

/** Ends an idle connection on which something arrives that nobody asked for. */
function destroyOnUnexpectedData(this: Socket): void {
  this.destroy();
}

/** Keeps idle connections for as long as the backend servers do. */
export class BackendAgent extends Agent {
  private readonly idleTimeoutsMs = new WeakMap<Socket, number>();

  constructor(options: AgentOptions = {}) {
    super({ keepAlive: true, maxFreeSockets, scheduling: 'lifo', ...options });
  }

  /**
   * Takes note of how long the other side keeps a connection.
   *
   * @param socket - connection of an answer
   * @param fields - header fields of the answer
   */
  recordKeepAliveTimeout(socket: Socket, fields: readonly string[]): void {
    const seconds = /timeout=(\d+)/.exec(fieldValue(fields, 'keep-alive') ?? '')?.[1];
    if (seconds === undefined) return;
    this.idleTimeoutsMs.set(socket, Math.max(0, Number(seconds) * 1000 - idleTimeoutMarginMs));
  }

  override keepSocketAlive(stream: Socket): boolean {
    const timeoutMs = this.idleTimeoutsMs.get(stream) ?? defaultIdleTimeoutMs;
    if (timeoutMs === 0 || stream.readableLength > 0) return false;
    stream.setKeepAlive(true, keepAliveProbeDelayMs);
    stream.unref();
    stream.on('data', destroyOnUnexpectedData);
    stream.setTimeout(timeoutMs);
    return true;
  }

  override reuseSocket(stream: Socket, request: ClientRequest): void {
    stream.off('data', destroyOnUnexpectedData);
    stream.setTimeout(0);
    super.reuseSocket(stream, request);
  }
}
