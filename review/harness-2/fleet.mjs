import { Buffer } from 'node:buffer';
import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { request as httpRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout as startTimer } from 'node:timers';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';

import { Machine, nowMs, ports, readCommand, zones } from './machine.mjs';

/** A small deployment of the programs of the deploy file, on loopback addresses. */

const network = `127.${16 + ((process.pid >> 8) % 200)}.${process.pid % 256}`;

/** An address for a stand-in of a server. */
export const serverAddress = (index) => ({ host: `${network}.${100 + index}`, port: 8080 });

/** Sends one request; resolves with status, fields and body, or with the error. */
export function send({ address, method, path, fields = {}, body, agent, timeoutMs = 1000 }) {
  const [host, port] = address.split(':');
  return new Promise((resolve) => {
    const request = httpRequest({ host, port, method, path, headers: fields, agent });
    const timer = startTimer(() => request.destroy(new Error('no answer in time')), timeoutMs);
    const finish = (result) => {
      clearTimeout(timer);
      resolve(result);
    };
    request.on('error', (error) => {
      finish({ error: error.code ?? error.message, isReused: request.reusedSocket });
    });
    request.on('response', (answer) => {
      const chunks = [];
      answer.on('data', (chunk) => chunks.push(chunk));
      answer.on('error', (error) => finish({ error: error.code ?? error.message }));
      answer.on('close', () => {
        if (!answer.complete) finish({ error: 'cut' });
      });
      answer.on('end', () => {
        const text = Buffer.concat(chunks).toString('latin1');
        if (!answer.complete) return;
        const isReused = request.reusedSocket;
        finish({ status: answer.statusCode, fields: answer.headers, body: text, isReused });
      });
    });
    request.end(body);
  });
}

/** The machines of a small deployment, and a record of what happens. */
export class Fleet {
  lines = [];

  cleanups = [];

  /**
   * Starts all machines.
   *
   * @param lateMs - time by which the last control machine starts later than the others
   */
  async start({ entries = 2, lateMs = 0 } = {}) {
    this.startedAtMs = nowMs();
    this.folder = await mkdtemp(join(tmpdir(), 'review-'));
    const record = (event, details) => this.record(event, details);
    const seeds = zones.map((_, index) => `${network}.${10 + index}:${ports.control}`);
    const create = async (role, place, index) => {
      const name = `${role}-${index}`;
      const dataDir = join(this.folder, `data-${index}`);
      if (role === 'control') await mkdir(dataDir);
      const ip = `${network}.${(role === 'control' ? 10 : 30) + index}`;
      const command = await readCommand(role);
      const { folder } = this;
      return new Machine({ name, role, place, ip, seeds, dataDir, folder, command, record });
    };
    this.controls = await Promise.all(zones.map((place, index) => create('control', place, index)));
    this.entries = await Promise.all(
      zones.slice(0, entries).map((place, index) => create('entry', place, index)),
    );
    const late = lateMs > 0 ? this.controls.at(-1) : undefined;
    const prompt = this.machines().filter((machine) => machine !== late);
    await Promise.all(prompt.map((machine) => machine.start()));
    if (late !== undefined) startTimer(() => this.isStopped || late.start(), lateMs);
  }

  machines() {
    return [...this.controls, ...this.entries];
  }

  controlAddress(index) {
    return `${this.controls[index % this.controls.length].ip}:${ports.control}`;
  }

  frontAddress(index) {
    return `${this.entries[index].ip}:${ports.front}`;
  }

  record(event, details = {}) {
    const atS = ((nowMs() - this.startedAtMs) / 1000).toFixed(3);
    this.lines.push(`${atS} s  ${event} ${JSON.stringify(details)}`);
  }

  /** Sends an order to one control machine after the other until one acknowledges it. */
  async order(path, body, { from = 0, untilMs = 20_000 } = {}) {
    const endMs = nowMs() + untilMs;
    for (let index = from; nowMs() < endMs; index += 1) {
      const address = this.controlAddress(index);
      const fields = { 'content-type': 'application/json' };
      const answer = await send({ address, method: 'POST', path, fields, body, timeoutMs: 1500 });
      this.record('order', { path, address, answer: answer.status ?? answer.error });
      if (answer.status === 200) return { index: index % this.controls.length };
      if (answer.status >= 400 && answer.status < 500) return { refused: answer.status };
      await delay(150);
    }
    throw new Error(`${path} was not acknowledged`);
  }

  /** Waits until an entry machine says that it is ready. */
  async waitUntilReady(index, untilMs = 20_000) {
    const address = `${this.entries[index].ip}:${ports.readiness}`;
    const endMs = nowMs() + untilMs;
    while (nowMs() < endMs) {
      const answer = await send({ address, method: 'GET', path: '/api/readiness' });
      if (answer.status === 200) return;
      await delay(100);
    }
    throw new Error(`entry ${index} does not get ready`);
  }

  async stop() {
    this.isStopped = true;
    for (const cleanup of this.cleanups) await cleanup();
    for (const machine of this.machines()) {
      machine.isStopped = true;
      machine.isExpectedToEnd = true;
      machine.child?.kill('SIGCONT');
      machine.child?.kill('SIGKILL');
    }
    await Promise.all(this.machines().map((machine) => machine.ended));
    if (process.env.KEEP === undefined) {
      await rm(this.folder, { recursive: true, force: true });
    } else this.record('kept', { folder: this.folder });
  }
}

/** A desired state with one service per name, and routes given as specs. */
export function desiredState(version, { routes, services }) {
  const limits = {
    maxHeaderBytes: 16384,
    maxBodyBytes: 67108864,
    headerTimeout: '3000ms',
    idleTimeout: '15000ms',
  };
  return JSON.stringify({
    version: version.toString(16).padStart(8, '0'),
    resources: [
      ...routes.map(({ name, ...spec }) => ({
        resourceType: 'routes',
        metadata: { name },
        spec: {
          hostname: 'shop.example',
          timeout: '2000ms',
          targetLatency: '1000ms',
          priority: 1,
          maxAttempts: 2,
          sessionAffinity: false,
          allowedRegions: [],
          ...spec,
        },
      })),
      ...services.map((name) => ({
        resourceType: 'services',
        metadata: { name },
        spec: {
          healthPath: '/health',
          maxConnections: 330,
          protocol: 'h1',
          tls: false,
          coldStart: '0s',
          coldPerS: 50,
        },
      })),
      { resourceType: 'limits', metadata: {}, spec: limits },
    ],
  });
}

/**
 * Runs a case and exits the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param url - module URL of the case, beside which the record is written
 * @param play - plays the case; returns whether the rule was broken
 */
export async function runCase(url, play, options) {
  const fleet = new Fleet();
  const hasTrouble = process.env.TROUBLE !== '0';
  let status = 2;
  try {
    await fleet.start(options);
    status = (await play(fleet, hasTrouble)) ? 1 : 0;
  } catch (error) {
    fleet.record('cannot run', { problem: String(error?.stack ?? error) });
  }
  await fleet.stop();
  fleet.record('result', { trouble: hasTrouble, status });
  const recordPath = fileURLToPath(new URL('record.txt', url));
  await writeFile(recordPath, `${fleet.lines.join('\n')}\n`);
  process.exit(status);
}
