import { Agent } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import { send } from './fleet.mjs';
import { nowMs } from './machine.mjs';

/** Clients with kept connections, each of which sends one request after the other. */
export class Clients {
  attempts = [];

  isStopped = false;

  constructor(fleet) {
    this.fleet = fleet;
    this.count = 0;
    this.loops = [];
    fleet.cleanups.push(async () => {
      await this.stop();
    });
  }

  /** Starts clients of one entry machine. */
  start({ address, clients, method = 'GET', path, pauseMs = 20, timeMs = 2000 }) {
    for (let index = 0; index < clients; index += 1) {
      this.loops.push(this.run({ address, method, path, pauseMs, timeMs }));
    }
  }

  async run({ address, method, path, pauseMs, timeMs }) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!this.isStopped) {
      this.count += 1;
      const attemptId = `a${this.count}`;
      const attempt = { attemptId, address, method, path, sentAtMs: nowMs() };
      this.attempts.push(attempt);
      const fields = {
        host: 'shop.example',
        'x-attempt-id': attemptId,
        'x-deadline-ms': String(timeMs),
      };
      const request = { address, method, path: `${path}${attemptId}`, fields, agent };
      const answer = await send({ ...request, timeoutMs: timeMs });
      Object.assign(attempt, { endedAtMs: nowMs() }, answer);
      await delay(answer.status === 200 ? pauseMs : 100);
    }
    agent.destroy();
  }

  async stop() {
    this.isStopped = true;
    await Promise.all(this.loops);
  }
}
