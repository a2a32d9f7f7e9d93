/* eslint max-classes-per-file: off */
/* global Buffer, clearInterval, clearTimeout, performance, setInterval, setTimeout */
import { createHash } from 'node:crypto';
import { createServer, request } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

/** Stand-ins for the operator, workers and clients, which follow the platform's pages. */

/** Sends a request on a connection of its own; resolves to its end, and never rejects. */
export function send(address, options = {}) {
  const {
    method = 'GET',
    path = '/',
    headers = {},
    body,
    timeoutMs = 5000,
    agent = false,
  } = options;
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    let timer;
    const outgoing = request({ host, port, method, path, headers, agent }, (answer) => {
      const parts = [];
      answer.on('data', (part) => parts.push(part));
      answer.on('error', () => undefined);
      answer.on('close', () => {
        clearTimeout(timer);
        const whole = Buffer.concat(parts);
        const { statusCode: status, headers: fields, complete: isComplete } = answer;
        resolve({ status, fields, body: whole.toString(), isComplete });
      });
    });
    timer = setTimeout(() => outgoing.destroy(new Error('no answer in time')), timeoutMs);
    outgoing.on('error', (error) => {
      clearTimeout(timer);
      resolve({ status: 0, fields: {}, body: '', isComplete: false, problem: error.message });
    });
    outgoing.end(body);
  });
}

/** A configuration with one service and two routes. */
export function configuration(version, change = {}) {
  const { services = ['desk'], limits = {} } = change;
  const route = (name, type, spec) => ({
    resourceType: 'routes',
    metadata: { name: `r-${name}` },
    spec: {
      hostname: 'shop.example',
      pathPrefix: `/${name}/`,
      type,
      timeout: '8000ms',
      targetLatency: '2000ms',
      priority: type === 'safe' ? 1 : 0,
      service: services[0],
      maxAttempts: 2,
      sessionAffinity: false,
      allowedRegions: [],
      ...spec,
    },
  });
  const service = (name) => ({
    resourceType: 'services',
    metadata: { name },
    spec: {
      healthPath: '/health',
      maxConnections: 330,
      protocol: 'h1',
      tls: false,
      coldStart: '0s',
      coldPerS: 100,
    },
  });
  return JSON.stringify({
    version: version.toString(16).padStart(8, '0'),
    resources: [
      route('reads', 'safe', change.reads),
      route('orders', 'unsafe', change.orders),
      ...services.map(service),
      {
        resourceType: 'limits',
        metadata: {},
        spec: {
          maxHeaderBytes: 16384,
          maxBodyBytes: 67108864,
          headerTimeout: '3000ms',
          idleTimeout: '15000ms',
          ...limits,
        },
      },
    ],
  });
}

/** The operator: sends an order to one control process after another until it has an ack. */
export class Operator {
  constructor(fleet) {
    this.fleet = fleet;
  }

  /**
   * @param hosts - control processes in the order in which they are tried
   * @returns whether there was an ack
   */
  async order(path, { body, hosts = this.fleet.controls, tryForMs = 15_000 } = {}) {
    const endAtMs = performance.now() + tryForMs;
    for (let attempt = 0; performance.now() < endAtMs; attempt += 1) {
      const host = hosts[attempt % hosts.length];
      const headers = body === undefined ? {} : { 'content-type': 'application/json' };
      const target = host.address('control');
      const answer = await send(target, { method: 'POST', path, headers, body, timeoutMs: 1000 });
      const end = answer.problem ?? answer.status;
      this.fleet.record(`operator: POST ${path} to ${host.name}: ${end}`);
      if (answer.status === 200) return true;
      if (answer.status >= 400 && answer.status < 500 && answer.status !== 408) return false;
      await delay(100);
    }
    return false;
  }

  configure(body, options = {}) {
    return this.order('/api/Config.Replace', { ...options, body });
  }
}

/** Body of the answer to a request: a worker's bytes, different for each attempt and stamp. */
export function answerBody(attemptId, stamp, bytes) {
  const seed = createHash('sha256').update(`${attemptId} ${stamp}`).digest('hex');
  return seed.repeat(Math.ceil(bytes / seed.length)).slice(0, bytes);
}

/** A worker: reports to the control processes and runs requests. */
export class Worker {
  /**
   * @param options - `id`, `host` (last part of its address), `zone`, `service`, `slots`, and `run`,
   *   which handles a request that is to be run
   */
  constructor(fleet, options) {
    this.fleet = fleet;
    this.options = { service: 'desk', slots: 8, workMs: 20, ...options };
    this.address = `${fleet.network}.${this.options.host}:8080`;
    this.bornMs = Date.now();
    this.sequence = 0;
    this.state = 'ready';
    this.running = 0;
    this.stamps = 0;
    /** Runs: attempt id, path, body and time. */
    this.runs = [];
    this.controlIndex = 0;
    this.server = createServer((incoming, response) => this.handle(incoming, response));
    this.server.keepAliveTimeout = 10_000;
  }

  async start() {
    const [host, port] = this.address.split(':');
    await new Promise((resolve) => {
      this.server.listen(Number(port), host, resolve);
    });
    this.fleet.onStop(() => this.stop());
    this.beat();
    this.timer = setInterval(() => this.beat(), this.options.heartbeatMs ?? 1500);
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Sends a status report; after a failure the next one goes to the next control process. */
  async beat() {
    const { id, zone, service, slots } = this.options;
    this.sequence += 1;
    const body = JSON.stringify({
      address: this.address,
      born: this.bornMs,
      info: { service, version: 'v1', zone, slots },
      status: { state: this.state, sequence: this.sequence, coldRemaining: '0ms' },
    });
    const { controls } = this.fleet;
    for (let attempt = 0; attempt < controls.length; attempt += 1) {
      const host = controls[this.controlIndex % controls.length];
      const answer = await send(host.address('control'), {
        method: 'POST',
        path: `/api/Instances.Heartbeat/${id}`,
        headers: { 'content-type': 'application/json' },
        body,
        timeoutMs: 1000,
      });
      if (answer.status === 200) return true;
      this.controlIndex += 1;
    }
    return false;
  }

  handle(incoming, response) {
    const attemptId = incoming.headers['x-attempt-id'];
    const parts = [];
    incoming.on('data', (part) => parts.push(part));
    incoming.on('error', () => undefined);
    incoming.on('end', () => {
      this.handleWhole(incoming, response, attemptId, Buffer.concat(parts));
    });
  }

  async handleWhole(incoming, response, attemptId, body) {
    const { id, slots, workMs } = this.options;
    if (attemptId !== undefined) response.setHeader('X-Attempt-Id', attemptId);
    if (incoming.url === '/health') {
      response.writeHead(200, { 'X-Instance-Id': id, 'Content-Length': 0 }).end();
      return;
    }
    const expected = incoming.headers['x-expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'X-Not-Executed': '1', 'Content-Length': 0 }).end();
      return;
    }
    if (this.running >= slots) {
      response.writeHead(503, { 'X-Not-Executed': '1', 'Content-Length': 0 }).end();
      return;
    }
    this.running += 1;
    this.fleet.record(`worker ${id}: runs ${attemptId} ${incoming.method} ${incoming.url}`);
    const { method, url: path } = incoming;
    this.runs.push({ attemptId, method, path, body, atMs: performance.now() });
    this.stamps += 1;
    const stamp = `${id}.${this.stamps}`;
    const run = this.options.run ?? this.answer.bind(this);
    await delay(workMs);
    try {
      await run({ incoming, response, attemptId, stamp, worker: this, body });
    } finally {
      this.running -= 1;
    }
  }

  /** Gives a whole answer. */
  answer({ response, attemptId, stamp }) {
    const text = answerBody(attemptId, stamp, this.options.answerBytes ?? 500);
    response.setHeader('X-Server-Load', `${this.running - 1},0,${this.options.slots}`);
    response.writeHead(200, { 'X-Server-Stamp': stamp, 'Content-Length': text.length });
    response.end(text);
  }
}

/** Sends a client's request to an entry process. */
export async function call(fleet, entry, attemptId, options = {}) {
  const { path = '/reads/1', method = 'GET', headers = {}, deadlineMs = 8000, ...rest } = options;
  const answer = await send(entry.address('front'), {
    method,
    path,
    headers: {
      host: 'shop.example',
      'x-attempt-id': attemptId,
      'x-deadline-ms': String(deadlineMs),
      ...headers,
    },
    timeoutMs: deadlineMs,
    ...rest,
  });
  const stamp = answer.fields['x-server-stamp'] ?? 'no stamp';
  const end = answer.problem ?? `${answer.status} ${stamp}`;
  fleet.record(`client: ${attemptId} ${method} ${path} to ${entry.name}: ${end}`);
  return answer;
}

/** Waits until a request is served, so that the deployment is known to work. */
export async function waitUntilServed(fleet, entry, options = {}) {
  const endAtMs = performance.now() + 25_000;
  for (let attempt = 0; performance.now() < endAtMs; attempt += 1) {
    const answer = await call(fleet, entry, `warm-up-${entry.name}-${attempt}`, options);
    if (answer.status === 200) return;
    await delay(250);
  }
  throw new Error(`${entry.name} serves nothing`);
}
