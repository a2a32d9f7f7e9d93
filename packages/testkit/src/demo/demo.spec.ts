import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

import test from 'ava';

const demoPath = fileURLToPath(new URL('./demoMain.js', import.meta.url));

test('the demo runs to its end and stops all of its processes', async (t) => {
  const child = spawn(process.execPath, [demoPath], { stdio: ['ignore', 'pipe', 'inherit'] });
  const chunks: Buffer[] = [];
  child.stdout.on('data', (chunk: Buffer) => chunks.push(chunk));
  const [status] = (await once(child, 'close')) as [number | null];
  const output = Buffer.concat(chunks).toString('utf8');
  t.is(status, 0, output);
  t.regex(output, /the reservation ran 1 time\(s\)/);
  t.regex(output, /all processes have ended/);
});
