#!/usr/bin/env node
import { Builtins, Cli } from 'clipanion';

import { CheckCommand } from './commands/checkCommand.js';
import { RunCommand } from './commands/runCommand.js';
import { StorageCheckCommand } from './consensus/storageCheckCommand.js';
import { invalidInputExitCode } from './commands/settingsCommand.js';

/** The program `buckthornlug`: one process per host. */

const cli = new Cli({ binaryName: 'buckthornlug', binaryLabel: 'buckthornlug' });
cli.register(Builtins.HelpCommand);
cli.register(RunCommand);
cli.register(CheckCommand);
cli.register(StorageCheckCommand);

/** Runs the command line; invalid arguments are reported as BL1005. */
async function runProgram(args: string[]): Promise<number> {
  try {
    const command = cli.process(args, Cli.defaultContext);
    return await cli.run(command, Cli.defaultContext);
  } catch (error) {
    process.stderr.write(`BL1005 ${(error as Error).message}\n`);
    return invalidInputExitCode;
  }
}

process.exitCode = await runProgram(process.argv.slice(2));
