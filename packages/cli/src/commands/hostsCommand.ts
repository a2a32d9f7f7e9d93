import { hostsReplySchema } from '@buckthornlug/protocol/admin/adminSchema.js';
import { Command } from 'clipanion';

import { formatTable } from '../output/table.js';
import { AdminCommand } from './adminCommand.js';

/** List the hosts and their state. */
export class HostsCommand extends AdminCommand {
  static override paths = [['hosts']];

  static override usage = Command.Usage({
    description: 'List the hosts and their state.',
    examples: [['As JSON', 'buckthornlugctl hosts --json']],
  });

  async execute(): Promise<number> {
    const answer = await this.client().get('/v1/hosts');
    const reply = answer.map((value) => hostsReplySchema.parse(value));
    return this.finish(reply, ({ hosts }) =>
      formatTable(
        ['host', 'region', 'zone', 'state', 'roles', 'version'],
        hosts.map((entry) => [
          entry.hostId,
          entry.region,
          entry.availabilityZone,
          entry.state,
          entry.roles.join(','),
          String(entry.documentVersion),
        ]),
      ),
    );
  }
}
