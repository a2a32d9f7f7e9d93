import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import { Command, Option } from 'clipanion';
import type { Result } from 'neverthrow';

import { createAdminClient, type AdminClient } from '../api/adminClient.js';
import { formatFailure } from '../output/failureText.js';

/** Exit code of a command whose input was invalid or whose request failed. */
export const failureExitCode = 2;

const defaultAdminAddress = 'http://127.0.0.1:7003';

/** Base class of the commands that use the administration API, with their common options. */
export abstract class AdminCommand extends Command {
  admin = Option.Array('--admin', {
    description:
      'Base address of an administration listener; may be repeated. Also BUCKTHORNLUG_ADMIN.',
  });

  json = Option.Boolean('--json', false, { description: 'Print JSON.' });

  /** Creates a client for the addresses given by flags or by the environment. */
  protected client(): AdminClient {
    const fromEnvironment = process.env.BUCKTHORNLUG_ADMIN?.split(',') ?? [defaultAdminAddress];
    return createAdminClient(this.admin ?? fromEnvironment);
  }

  /** Prints a value as JSON or as text. */
  protected print(value: unknown, formatText: () => string): void {
    const text = this.json ? JSON.stringify(value, null, 2) : formatText();
    this.context.stdout.write(`${text}\n`);
  }

  /** Prints a failure and returns the exit code. */
  protected printFailure(problem: Failure): number {
    if (this.json) this.context.stdout.write(`${JSON.stringify({ failure: problem }, null, 2)}\n`);
    else this.context.stderr.write(`${formatFailure(problem)}\n`);
    return failureExitCode;
  }

  /** Prints the value or the failure of a result, and returns the exit code. */
  protected finish<T>(result: Result<T, Failure>, formatText: (value: T) => string): number {
    if (result.isErr()) return this.printFailure(result.error);
    this.print(result.value, () => formatText(result.value));
    return 0;
  }
}
