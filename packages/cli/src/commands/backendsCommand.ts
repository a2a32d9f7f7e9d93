import { Command } from 'clipanion';

import { readAllBackends } from '../api/readAllBackends.js';
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
    const reply = await readAllBackends(this.client());
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
