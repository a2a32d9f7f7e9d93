import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

const toolPath = fileURLToPath(new URL('../../../cli/dist/main.js', import.meta.url));

/** Result of one command of the operators' tool. */
export interface ToolResult {
  readonly status: number;
  readonly output: string;
}

/**
 * Runs the operators' tool as a process.
 *
 * @param admins - base addresses of administration listeners
 * @param args - command and its options
 */
export async function runTool(
  admins: readonly string[],
  args: readonly string[],
): Promise<ToolResult> {
  const child = spawn(process.execPath, [toolPath, ...args], {
    env: { ...process.env, BUCKTHORNLUG_ADMIN: admins.join(',') },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const chunks: Buffer[] = [];
  const keep = (chunk: Buffer) => chunks.push(chunk);
  child.stdout.on('data', keep);
  child.stderr.on('data', keep);
  const [status] = (await once(child, 'close')) as [number | null];
  return { status: status ?? 1, output: Buffer.concat(chunks).toString('utf8') };
}
