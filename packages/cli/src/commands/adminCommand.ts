import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import { Command, Option } from 'clipanion';
import type { Result } from 'neverthrow';

import { createAdminClient, type AdminClient } from '../api/adminClient.js';
import { formatFailure } from '../output/failureText.js';

/** Exit status of a command whose input or request was refused. */
export const refusedExitCode = 2;

const defaultAdminAddress = 'http://127.0.0.1:7003';

/** Options that every command on the administration API has. */
export abstract class AdminCommand extends Command {
  admin = Option.Array('--admin', {
    description:
      'Base address of an administration listener; may be repeated. Also BUCKTHORNLUG_ADMIN.',
  });

  json = Option.Boolean('--json', false, { description: 'Print JSON.' });

  /** Client for the addresses named by flags or environment. */
  protected client(): AdminClient {
    const fromEnvironment = process.env.BUCKTHORNLUG_ADMIN?.split(',') ?? [defaultAdminAddress];
    return createAdminClient(this.admin ?? fromEnvironment);
  }

  /** Prints a value as JSON or as text. */
  protected print(value: unknown, formatText: () => string): void {
    const text = this.json ? JSON.stringify(value, null, 2) : formatText();
    this.context.stdout.write(`${text}\n`);
  }

  /** Prints a failure and returns the exit status. */
  protected refuse(problem: Failure): number {
    if (this.json) this.context.stdout.write(`${JSON.stringify({ failure: problem }, null, 2)}\n`);
    else this.context.stderr.write(`${formatFailure(problem)}\n`);
    return refusedExitCode;
  }

  /** Prints an answer, or the failure in its place. */
  protected finish<T>(result: Result<T, Failure>, formatText: (value: T) => string): number {
    if (result.isErr()) return this.refuse(result.error);
    this.print(result.value, () => formatText(result.value));
    return 0;
  }
}
