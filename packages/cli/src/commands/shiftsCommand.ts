import { shiftsReplySchema } from '@buckthornlug/protocol/admin/adminSchema.js';
import { Command } from 'clipanion';

import { formatTable } from '../output/table.js';
import { AdminCommand } from './adminCommand.js';

/** List the shifts of traffic and their steps. */
export class ShiftsCommand extends AdminCommand {
  static override paths = [['shifts']];

  static override usage = Command.Usage({
    description: 'List the shifts of traffic and their steps.',
    examples: [['As JSON', 'buckthornlugctl shifts --json']],
  });

  async execute(): Promise<number> {
    const answer = await this.client().get('/v1/shifts');
    const reply = answer.map((value) => shiftsReplySchema.parse(value));
    return this.finish(reply, ({ shifts }) =>
      formatTable(
        ['service', 'region', 'zone', 'moved', 'target', 'step', 'held'],
        shifts.map((entry) => [
          entry.service,
          entry.region,
          entry.availabilityZone ?? 'all',
          `${entry.movedPermille} permille`,
          `${entry.targetPermille} permille`,
          String(entry.step),
          String(entry.held),
        ]),
      ),
    );
  }
}
