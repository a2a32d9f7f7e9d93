import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import { deploymentKeys } from '../deployment/deployment.js';
import { createFakeCaller, type CallerRequest, type FakeCaller } from '../fakes/fakeCaller.js';
import { keepRunning } from './demoKeep.js';
import {
  demoDocumentPath,
  demoHostName,
  demoService,
  startDemoBackends,
  startDemoHosts,
  type DemoFleet,
} from './demoSetup.js';
import { runTool } from './demoTool.js';

/** `npm run demo`: hosts and backend servers on loopback, a document, calls of each kind, a stop. */

const readyTimeoutMs = 20_000;
const retryDelayMs = 200;
const callsDuringStop = 60;
const shownEvents = 12;

const say = (text: string) => console.log(text);
const title = (text: string) => say(`\n== ${text}`);

function expectThat(condition: boolean, problem: string): void {
  if (!condition) throw new Error(problem);
}

function indent(text: string): string {
  return text.trimEnd().replaceAll(/^/gm, '   ');
}

const adminAddresses = (fleet: DemoFleet) =>
  fleet.settings.map(({ listen }) => `http://${listen.admin.address}:${listen.admin.port}`);

async function submitDocument(fleet: DemoFleet, workFolder: string): Promise<void> {
  const secretFile = `${workFolder}/cluster-secret.txt`;
  await writeFile(secretFile, deploymentKeys.cluster.secret, { mode: 0o600 });
  const key = ['--team', 'platform', '--key', deploymentKeys.cluster.id];
  const args = ['document', 'submit', demoDocumentPath, ...key, '--secret-file', secretFile];
  const result = await runTool(adminAddresses(fleet), [...args, '--wait']);
  say(indent(result.output));
  expectThat(result.status === 0, 'the document was not accepted');
}

async function waitForAnswers(caller: FakeCaller): Promise<void> {
  const startedAtMs = performance.now();
  for (;;) {
    const result = await caller.call({ method: 'GET', path: '/' });
    if (result.result === 'answered') return;
    const isLate = performance.now() - startedAtMs > readyTimeoutMs;
    expectThat(!isLate, `no call was answered: ${result.attempts.join(', ')}`);
    await delay(retryDelayMs);
  }
}

async function showCall(caller: FakeCaller, text: string, call: CallerRequest): Promise<string> {
  const result = await caller.call(call);
  const by = result.body?.trim() ?? '';
  const how = result.code ?? `${result.status}`;
  say(
    `   ${text}: ${result.result} ${how} in ${result.elapsedMs.toFixed(1)} ms by ${result.hostId}`,
  );
  say(`      ${by}`);
  expectThat(result.result === 'answered', `${text} was not answered`);
  return by;
}

async function countExecutions(fleet: DemoFleet, identity: string): Promise<number> {
  let executions = 0;
  for (const backend of fleet.backends) {
    const reply = await request(`${backend.origin}/.fake/counts`);
    const counts = (await reply.body.json()) as { executions: Record<string, number> };
    executions += counts.executions[identity] ?? 0;
  }
  return executions;
}

async function showKinds(fleet: DemoFleet, caller: FakeCaller): Promise<void> {
  await showCall(caller, 'browse (idempotent)', { method: 'GET', path: '/poles/17' });
  await showCall(caller, 'report (dispatched once)', {
    method: 'POST',
    path: '/reports',
    body: 'stock count',
  });
  const reservation: CallerRequest = {
    method: 'POST',
    path: '/reservations',
    headers: { 'idempotency-key': 'repair-4711' },
    body: '{"part":"tip-12","count":2}',
  };
  const first = await showCall(caller, 'reserve (at most once)', reservation);
  const again = await showCall(caller, 'the same reservation, sent again', reservation);
  expectThat(first === again, 'the resend got another answer');
  const executions = await countExecutions(fleet, 'repair-4711');
  say(`   the reservation ran ${executions} time(s)`);
  expectThat(executions === 1, 'the reservation did not run exactly once');
}

async function showLookup(caller: FakeCaller): Promise<void> {
  const reply = await caller.lookUp();
  expectThat(reply !== undefined, 'no look-up was answered');
  const names = reply?.hosts.map((host) => `${host.hostId} (${host.availabilityZone})`) ?? [];
  say(`   version ${reply?.documentVersion}, good for ${reply?.ttlMs} ms: ${names.join(', ')}`);
}

async function showPlannedStop(fleet: DemoFleet, caller: FakeCaller): Promise<void> {
  const first = await caller.lookUp();
  const hostId = first?.hosts[0]?.hostId;
  const host = fleet.hosts.find((candidate) => candidate.settings.hostId === hostId);
  const stopping = host?.stop();
  const attempts: string[] = [];
  let isStopped = false;
  stopping
    ?.then(() => {
      isStopped = true;
    })
    .catch(() => undefined);
  for (let call = 0; call < callsDuringStop || !isStopped; call += 1) {
    const result = await caller.call({ method: 'GET', path: `/poles/${call}` });
    attempts.push(...result.attempts);
  }
  const status = await stopping;
  const answered = attempts.filter((attempt) => attempt === 'answered').length;
  const cut = attempts.filter((attempt) => attempt === 'broken' || attempt === 'hungUp').length;
  const refused = attempts.length - answered - cut;
  say(`   ${hostId} stopped with status ${status}; meanwhile ${answered} answered, ${cut} cut,`);
  say(`   ${refused} refused as not run and sent again`);
  expectThat(cut === 0 && status === 0, 'the planned stop was not clean');
}

async function showTool(fleet: DemoFleet): Promise<void> {
  const admins = adminAddresses(fleet);
  const status = await runTool(admins, ['status']);
  say(indent(status.output));
  title('The last events of all hosts: buckthornlugctl timeline');
  const timeline = await runTool(admins, ['timeline', '--limit', String(shownEvents)]);
  say(indent(timeline.output));
}

const isKept = process.argv.includes('--keep');

async function runDemo(fleet: DemoFleet, workFolder: string): Promise<void> {
  title(`Submitting ${demoDocumentPath}`);
  await submitDocument(fleet, workFolder);
  title('Backend servers announce themselves');
  await startDemoBackends(fleet);
  say(`   ${fleet.backends.map((backend) => backend.backendId).join(', ')}`);
  const caller = createFakeCaller({
    hosts: fleet.settings.map(({ listen }) => listen.callers),
    service: demoService,
    hostName: demoHostName,
    attempts: 5,
    patienceMs: 5000,
  });
  try {
    await waitForAnswers(caller);
    title('A caller asks which hosts to use');
    await showLookup(caller);
    if (isKept) {
      title('Running until Ctrl-C');
      await keepRunning(fleet, adminAddresses(fleet), workFolder, say);
      return;
    }
    title('Calls of each kind');
    await showKinds(fleet, caller);
    title('A planned stop of the first host, under calls');
    await showPlannedStop(fleet, caller);
    title('What the operators see: buckthornlugctl status');
    await showTool(fleet);
  } finally {
    await caller.stop();
  }
}

const workFolder = await mkdtemp(`${tmpdir()}/buckthornlug-demo-`);
title('Starting six hosts in three zones');
const fleet = await startDemoHosts(workFolder);
for (const { settings, processId } of fleet.hosts) {
  say(`   ${settings.hostId} process ${processId} ${settings.roles.join('+')}`);
}
try {
  await runDemo(fleet, workFolder);
} catch (error) {
  say(`\nThe demo failed: ${(error as Error).message}`);
  for (const host of fleet.hosts) say(indent(host.logLines.slice(-5).join('\n')));
  process.exitCode = 1;
} finally {
  title('Stopping');
  await fleet.stop();
  await rm(workFolder, { recursive: true });
  say(process.exitCode === 1 ? 'failed' : '   all processes have ended');
}
