import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import test, { type ExecutionContext } from 'ava';

import { runTool } from './demoTool.js';

const demoPath = fileURLToPath(new URL('./demoMain.js', import.meta.url));
const startLimitMs = 60_000;

interface RunningDemo {
  readonly child: ChildProcess;
  readonly output: () => string;
}

function startDemo(...args: string[]): RunningDemo {
  const child = spawn(process.execPath, [demoPath, ...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  const chunks: Buffer[] = [];
  child.stdout.on('data', (chunk: Buffer) => chunks.push(chunk));
  return { child, output: () => Buffer.concat(chunks).toString('utf8') };
}

/** Value of an `export NAME=value` line that the demo prints. */
async function exported(demo: RunningDemo, name: string): Promise<string> {
  const line = new RegExp(`export ${name}="?([^"\\n]+)"?\\n`);
  const untilMs = performance.now() + startLimitMs;
  while (performance.now() < untilMs) {
    const found = line.exec(demo.output())?.[1];
    if (found !== undefined) return found;
    await delay(50);
  }
  throw new Error(`the demo did not print ${name}:\n${demo.output()}`);
}

async function end(t: ExecutionContext, demo: RunningDemo): Promise<void> {
  const closed = once(demo.child, 'close');
  demo.child.kill('SIGINT');
  const [status] = (await closed) as [number | null];
  t.is(status, 0, demo.output());
  t.regex(demo.output(), /all processes have ended/);
}

test.serial('the demo runs to its end and stops all of its processes', async (t) => {
  const demo = startDemo();
  const [status] = (await once(demo.child, 'close')) as [number | null];
  t.is(status, 0, demo.output());
  t.regex(demo.output(), /the reservation ran 1 time\(s\)/);
  t.regex(demo.output(), /all processes have ended/);
});

test.serial('a region of the kept demo is drained by the commands of the README', async (t) => {
  const folder = await mkdtemp(`${tmpdir()}/bl-readme-`);
  t.teardown(() => rm(folder, { recursive: true }));
  const demo = startDemo('--keep');
  t.teardown(() => demo.child.kill('SIGINT'));
  const admins = (await exported(demo, 'BUCKTHORNLUG_ADMIN')).split(',');
  const signing = (await exported(demo, 'SIGNING')).split(' ');
  const tool = async (...args: string[]) => {
    const result = await runTool(admins, args);
    t.is(result.status, 0, `${args.join(' ')}: ${result.output}`);
    return result.output;
  };
  t.regex(await tool('hosts'), /abuja-a-2 .* alive/);
  t.regex(await tool('backends'), /abuja-a-parts-2/);
  const path = `${folder}/steering.json`;
  await tool('document', 'get', '--out', path);
  const text = await readFile(path, 'utf8');
  await writeFile(path, text.replace('"drainedRegions": []', '"drainedRegions": ["abuja"]'));
  t.regex(await tool('document', 'diff', path), /keeps 1000 -> 0 permille/);
  t.regex(await tool('document', 'submit', path, ...signing, '--wait'), /in force/);
  t.regex(await tool('shifts'), /abuja/);
  await tool('timeline', '--html', `${folder}/timeline.html`);
  t.regex(await readFile(`${folder}/timeline.html`, 'utf8'), /shiftStep/);
  await end(t, demo);
});
