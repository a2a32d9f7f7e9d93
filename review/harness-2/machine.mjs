import { spawn } from 'node:child_process';
import { createWriteStream } from 'node:fs';
import { readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as startTimer } from 'node:timers';
import { fileURLToPath, URL } from 'node:url';

/** A process of a role of the deploy file, with the settings of a small deployment. */

const repository = fileURLToPath(new URL('../../', import.meta.url));
export const zones = [
  { zone: 'north-a', region: 'north' },
  { zone: 'south-a', region: 'south' },
  { zone: 'west-a', region: 'west' },
];
const zoneRegions = Object.fromEntries(zones.map(({ zone, region }) => [zone, region]));
export const ports = { front: 8161, control: 8166, directory: 8164, readiness: 8167 };
/** Delay after which the platform starts a process again that has ended. */
const restartDelayMs = 500;

export const bounds = {
  contactMs: 4000,
  ackMs: 5000,
  drainMs: 2500,
  graceMs: 6000,
  lossSlackMs: 200,
  configApplyMs: 2500,
  recoveryMs: 15_000,
};

export const nowMs = () => Math.round(performance.now());

/** Reads the command of a role from the deploy file. */
export async function readCommand(role) {
  const text = await readFile(join(repository, 'deploy/system.toml'), 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  const run = /^run = "(.*)"$/m.exec(section)?.[1];
  if (run === undefined) throw new Error(`the deploy file has no role ${role}`);
  return run.split(' ');
}

/** One process of a role on its machine; starts again when it ends, as on the platform. */
export class Machine {
  ownEnds = 0;

  isExpectedToEnd = false;

  isStopped = false;

  starts = 0;

  constructor(parts) {
    Object.assign(this, parts);
  }

  settings() {
    const { ip, place, role, seeds } = this;
    const isControl = role === 'control';
    return {
      nodeName: `${role}-${place.zone}`,
      role,
      machineClass: isControl ? 'core' : 'edge',
      serves: isControl ? ['control_plane', 'directory'] : ['edge'],
      ip,
      zone: place.zone,
      region: place.region,
      zones: zoneRegions,
      listen: isControl
        ? { control: `${ip}:${ports.control}`, directory: `${ip}:${ports.directory}` }
        : { front: `${ip}:${ports.front}`, readiness: `${ip}:${ports.readiness}` },
      internalPorts: [7720, 7735],
      seeds,
      bootstrap: this.starts === 0,
      lossCounts: isControl,
      limits: {
        cpuShare: isControl ? 0.81 : 0.54,
        cores: 1,
        memoryMb: 350,
        maxFds: 4100,
        linkMbps: 1000,
        diskMb: isControl ? 256 : 0,
      },
      dataDir: isControl ? this.dataDir : null,
      discovery: 'registration',
      entry: 'directory',
      heartbeat: '1500ms',
      contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'places'],
      faultTolerance: { machines: 1, zones: 1, regions: 1 },
      bounds: [
        'seedLag=3s',
        'reuseAfter=2s',
        `contact=${bounds.contactMs}ms`,
        `ack=${bounds.ackMs}ms`,
        'catchUp=4s',
        `drain=${bounds.drainMs}ms`,
        `grace=${bounds.graceMs}ms`,
        `lossSlack=${bounds.lossSlackMs}ms`,
        `configApply=${bounds.configApplyMs}ms`,
        'revertSlack=250ms',
        'maxStretch=6000ms',
        'retryBudgetRatio=0.2',
        'budgetWindow=10s',
        'budgetSlack=58',
        'coldTolerance=1.5',
        'coldSlack=5',
        'evacuationDeadline=5000ms',
        'recovery=15s',
        'ttl_max=5s',
        'maxShift=0.15',
      ],
      configMode: 'highest',
    };
  }

  async start() {
    const path = join(this.folder, `${this.name}.json`);
    await writeFile(path, JSON.stringify(this.settings()));
    this.starts += 1;
    this.isExpectedToEnd = false;
    const [command, ...args] = this.command;
    const { PATH, HOME, LANG } = process.env;
    this.child = spawn(command, args, {
      cwd: repository,
      env: { PATH, HOME, LANG, BUCKTHORNLUG_SETTINGS: path },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.log ??= createWriteStream(join(this.folder, `${this.name}.log`));
    this.errors = '';
    this.child.stdout.pipe(this.log, { end: false });
    this.child.stderr.on('data', (chunk) => {
      this.errors = (this.errors + chunk).slice(-3000);
      this.log.write(chunk);
    });
    this.ended = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        if (!this.isExpectedToEnd) {
          this.ownEnds += 1;
          this.record('ends by itself', {
            machine: this.name,
            code,
            signal,
            says: this.errors.replaceAll(repository, ''),
          });
          if (!this.isStopped) startTimer(() => this.isStopped || this.start(), restartDelayMs);
        }
        resolve();
      });
    });
  }

  /** Sends a signal that ends the process, and waits for its end. */
  async end(signal) {
    this.isExpectedToEnd = true;
    this.child.kill(signal);
    await this.ended;
  }

  signal(signal) {
    this.child.kill(signal);
  }
}
