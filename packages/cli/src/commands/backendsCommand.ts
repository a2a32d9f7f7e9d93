import { backendsReplySchema } from '@buckthornlug/protocol/admin/adminSchema.js';
import { Command } from 'clipanion';

import { formatTable } from '../output/table.js';
import { AdminCommand } from './adminCommand.js';

/** List the backend servers as their pool owners see them. */
export class BackendsCommand extends AdminCommand {
  static override paths = [['backends']];

  static override usage = Command.Usage({
    description: 'List the backend servers as their pool owners see them.',
    examples: [['As JSON', 'buckthornlugctl backends --json']],
  });

  async execute(): Promise<number> {
    const answer = await this.client().get('/v1/backends');
    const reply = answer.map((value) => backendsReplySchema.parse(value));
    return this.finish(reply, ({ backends }) =>
      formatTable(
        [
          'backend server',
          'service',
          'zone',
          'state',
          'owner',
          'used',
          'slots',
          'ejected',
          'lease',
          'silent',
        ],
        backends.map((entry) => [
          entry.backendId,
          entry.service,
          entry.availabilityZone,
          entry.state,
          entry.ownerHostId,
          String(entry.usedSlots),
          String(entry.slots),
          String(entry.ejected),
          entry.holdsLease ? 'held' : 'none',
          `${entry.silentMs} ms`,
        ]),
      ),
    );
  }
}
