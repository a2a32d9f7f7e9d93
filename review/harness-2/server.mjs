import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import { send, serverAddress } from './fleet.mjs';
import { nowMs } from './machine.mjs';

/** A worker as the pages describe it: reports itself, runs requests in slots and queues a few more. */

const heartbeatMs = 1500;
const reportTimeoutMs = 1000;

export class Worker {
  runs = [];

  running = 0;

  queue = [];

  state = 'ready';

  sequence = 0;

  controlIndex = 0;

  arrivals = [];

  constructor(fleet, { id, service, index, zone = 'north-a', slots = 6, workMs = 100, answer }) {
    Object.assign(this, { fleet, id, service, zone, slots, workMs, index });
    /** Writes the answer of a request that has run. */
    this.answer =
      answer ?? ((worker, request, response) => worker.answerSoundly(request, response));
    this.born = Date.now();
    this.server = createServer({ keepAliveTimeout: 5000 }, (request, response) => {
      this.handle(request, response).catch(() => response.destroy());
    });
    fleet.cleanups.push(() => this.crash());
  }

  get address() {
    const { host, port } = serverAddress(this.index);
    return `${host}:${port}`;
  }

  async start() {
    const { host, port } = serverAddress(this.index);
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.reportPeriodically();
  }

  async reportPeriodically() {
    while (this.state === 'ready') {
      await this.report();
      await delay(heartbeatMs);
    }
  }

  /** Sends a status report; after a failure the next one goes to the next control machine. */
  async report() {
    const { id, service, zone, slots, state, born } = this;
    this.sequence += 1;
    const body = JSON.stringify({
      address: this.address,
      born,
      info: { service, version: 'v1', zone, slots },
      status: { state, sequence: this.sequence, coldRemaining: '0ms' },
    });
    return this.post(`/api/Instances.Heartbeat/${id}`, body);
  }

  async post(path, body) {
    const address = this.fleet.controlAddress(this.controlIndex);
    const fields = { 'content-type': 'application/json' };
    const timeoutMs = reportTimeoutMs;
    const answer = await send({ address, method: 'POST', path, fields, body, timeoutMs });
    if (answer.status === 200) return true;
    this.controlIndex += 1;
    return false;
  }

  async crash() {
    if (this.state === 'stopped') return;
    this.state = 'stopped';
    const closed = new Promise((resolve) => {
      this.server.close(resolve);
    });
    this.server.closeAllConnections();
    await closed;
  }

  async handle(request, response) {
    const attemptId = request.headers['x-attempt-id'];
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const expected = request.headers['x-expect-instance'];
    this.arrivals.push({ attemptId, atMs: nowMs() });
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'X-Attempt-Id': attemptId, 'X-Instance-Id': this.id }).end();
      return;
    }
    if (this.running >= this.slots) {
      if (this.queue.length >= this.slots) {
        response.writeHead(503, { 'X-Attempt-Id': attemptId, 'X-Not-Executed': '1' }).end();
        return;
      }
      await new Promise((resolve) => {
        this.queue.push(resolve);
      });
    }
    this.running += 1;
    try {
      if (response.destroyed) return;
      const { method, url } = request;
      const bytes = Buffer.concat(chunks).length;
      this.runs.push({ attemptId, method, url, bytes, atMs: nowMs() });
      await delay(this.workMs);
    } finally {
      this.running -= 1;
      this.queue.shift()?.();
    }
    this.answer(this, request, response);
  }

  soundFields(request) {
    const attemptId = request.headers['x-attempt-id'];
    return {
      'X-Attempt-Id': attemptId,
      'X-Server-Stamp': `${this.id}.${attemptId}`,
      'X-Server-Load': `${this.running},${this.queue.length},${this.slots}`,
    };
  }

  answerSoundly(request, response) {
    response.writeHead(200, this.soundFields(request));
    response.end(`answer to ${request.headers['x-attempt-id']}`);
  }
}
