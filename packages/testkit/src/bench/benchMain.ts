import { writeFile } from 'node:fs/promises';

import { Builtins, Cli, Command, Option } from 'clipanion';

import type { BenchReport } from './benchTypes.js';
import { experiments } from './experiments.js';
import { formatReport } from './reportTable.js';

/** `npm run bench -- <experiment> [--seed N] [--duration-s N] [--json] [--out FILE]`. */

const missedBoundStatus = 1;
const unknownExperimentStatus = 2;

/** Runs one experiment. */
class BenchCommand extends Command {
  static override readonly usage = Command.Usage({
    description: 'Runs an experiment.',
    details: experiments.map((entry) => `- \`${entry.name}\`: ${entry.describe}`).join('\n\n'),
    examples: [['Measure the path of a call', 'npm run bench -- call --seed 7 --json']],
  });

  readonly experiment = Option.String();

  readonly seed = Option.String('--seed', '1', { description: 'Seed of all random numbers.' });

  readonly durationS = Option.String('--duration-s', '10', { description: 'Length of a run.' });

  readonly json = Option.Boolean('--json', false, { description: 'Prints the report as JSON.' });

  readonly out = Option.String('--out', { description: 'File that gets the report as JSON.' });

  async execute(): Promise<number> {
    const experiment = experiments.find((entry) => entry.name === this.experiment);
    if (experiment === undefined) {
      const names = experiments.map((entry) => entry.name).join(', ');
      this.context.stderr.write(`no experiment "${this.experiment}"; there are: ${names}\n`);
      return unknownExperimentStatus;
    }
    const report = await experiment.run({
      seed: Number(this.seed),
      durationS: Number(this.durationS),
      progress: (text) => this.context.stderr.write(`${text}\n`),
    });
    await this.write(report);
    return report.bounds.every((bound) => bound.isHeld) ? 0 : missedBoundStatus;
  }

  private async write(report: BenchReport): Promise<void> {
    const json = `${JSON.stringify(report, null, 2)}\n`;
    if (this.out !== undefined) await writeFile(this.out, json);
    this.context.stdout.write(this.json ? json : formatReport(report));
  }
}

const cli = new Cli({ binaryName: 'npm run bench --', binaryLabel: 'buckthornlug bench' });
cli.register(Builtins.HelpCommand);
cli.register(BenchCommand);
process.exitCode = await cli.run(process.argv.slice(2));
