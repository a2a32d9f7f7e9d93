import { Agent, type AgentOptions, type ClientRequest } from 'node:http';
import type { Socket } from 'node:net';

import { fieldValue } from '@buckthornlug/core/calls/headerFields.js';
import { parseIdleTimeoutMs } from '@buckthornlug/core/calls/keepAlive.js';

/** Keep-alive connections to registered backend servers. */

/** Idle time after which a connection is closed if the backend server announces no timeout. */
const defaultIdleTimeoutMs = 4000;
/** Time by which a connection is closed before the backend server would close it. */
const idleTimeoutMarginMs = 1000;
/** Idle time after which the operating system sends TCP keep-alive probes. */
const keepAliveProbeDelayMs = 1000;
/** Largest number of idle connections to one backend server. */
const maxFreeSockets = 8;

/** Closes an idle connection on which unrequested data arrives. */
function destroyOnUnexpectedData(this: Socket): void {
  this.destroy();
}

/** Keeps idle connections open a little shorter than the backend servers do. */
export class BackendAgent extends Agent {
  private readonly idleTimeoutsMs = new WeakMap<Socket, number>();

  constructor(options: AgentOptions = {}) {
    super({ keepAlive: true, maxFreeSockets, scheduling: 'lifo', ...options });
  }

  /**
   * Records the timeout that the `Keep-Alive` field of an answer announces for its connection.
   *
   * @param fields - header fields of the answer, as a flat list of names and values
   */
  recordKeepAliveTimeout(socket: Socket, fields: readonly string[]): void {
    const idleTimeoutMs = parseIdleTimeoutMs(fieldValue(fields, 'keep-alive'));
    if (idleTimeoutMs === undefined) return;
    this.idleTimeoutsMs.set(socket, Math.max(0, idleTimeoutMs - idleTimeoutMarginMs));
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
