import { readFile, writeFile } from 'node:fs/promises';

import { checkDocument } from '@buckthornlug/protocol/document/document.js';

import { createFakeCaller, type FakeCaller } from '../fakes/fakeCaller.js';
import { demoDocumentPath, demoHostName, demoService, type DemoFleet } from './demoSetup.js';

/** Leaves the demo running for an operator at another terminal, with callers in each zone. */

const callIntervalMs = 100;
const reportIntervalMs = 10_000;
const callerPatienceMs = 5000;
/** Caller addresses inside the client blocks of the demo's document, by availability zone. */
const callerAddresses = {
  'lagos-a': '127.221.0.1',
  'lagos-b': '127.222.0.1',
  'abuja-a': '127.223.0.1',
} as const;

/** Prints a line for people. */
export type Say = (text: string) => void;

/** How many calls of a zone ended in each way. */
interface ZoneCalls {
  readonly zone: string;
  readonly ended: Map<string, number>;
}

/** Writes the secret of the demo's team where the operator's commands find it. */
async function writeTeamSecret(workFolder: string): Promise<string> {
  const checked = checkDocument(JSON.parse(await readFile(demoDocumentPath, 'utf8')));
  const [team] = checked.isOk() ? checked.value.teams : [];
  const [key] = team?.keys ?? [];
  if (team === undefined || key?.secret === undefined)
    throw new Error('the demo has no team with a key');
  const secretFile = `${workFolder}/${team.id}-secret.txt`;
  await writeFile(secretFile, key.secret, { mode: 0o600 });
  return `--team ${team.id} --key ${key.id} --secret-file ${secretFile}`;
}

async function callOnce(caller: FakeCaller, { ended }: ZoneCalls): Promise<void> {
  const { result } = await caller.call({ method: 'GET', path: '/poles/17' });
  ended.set(result, (ended.get(result) ?? 0) + 1);
}

function report(zones: readonly ZoneCalls[], say: Say): void {
  const parts = zones.map(({ zone, ended }) => {
    const figures = [...ended].map(([result, calls]) => `${calls} ${result}`);
    return `${zone} ${figures.join(', ')}`;
  });
  say(`   calls so far: ${parts.join('; ')}`);
}

/** Starts a caller in each zone; the result ends them. */
function startCallers(fleet: DemoFleet, say: Say): () => Promise<void> {
  const zones: ZoneCalls[] = [];
  const callers: FakeCaller[] = [];
  const timers: NodeJS.Timeout[] = [];
  for (const [zone, address] of Object.entries(callerAddresses)) {
    const caller = createFakeCaller({
      hosts: fleet.settings.map(({ listen }) => listen.callers),
      service: demoService,
      hostName: demoHostName,
      address,
      attempts: 5,
      patienceMs: callerPatienceMs,
    });
    const calls: ZoneCalls = { zone, ended: new Map() };
    callers.push(caller);
    zones.push(calls);
    const send = () => {
      callOnce(caller, calls).catch((error: unknown) => say(String(error)));
    };
    timers.push(setInterval(send, callIntervalMs));
  }
  timers.push(setInterval(() => report(zones, say), reportIntervalMs));
  return async () => {
    for (const timer of timers) clearInterval(timer);
    await Promise.all(callers.map((caller) => caller.stop()));
  };
}

/**
 * Leaves the deployment running, with callers that go on, until the process is interrupted.
 *
 * @param fleet - running hosts and backend servers
 * @param admins - base addresses of the administration listeners
 * @param workFolder - folder for the team's secret
 * @param say - prints a line
 */
export async function keepRunning(
  fleet: DemoFleet,
  admins: readonly string[],
  workFolder: string,
  say: Say,
): Promise<void> {
  const signing = await writeTeamSecret(workFolder);
  say(`   export BUCKTHORNLUG_ADMIN=${admins.join(',')}`);
  say(`   export SIGNING="${signing}"`);
  const stopCallers = startCallers(fleet, say);
  await new Promise<void>((resolve) => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
  await stopCallers();
}
