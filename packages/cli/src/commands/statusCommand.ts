import { statusReplySchema, type StatusReply } from '@buckthornlug/protocol/admin/adminSchema.js';
import { Command } from 'clipanion';

import { AdminCommand } from './adminCommand.js';

function formatStatus(status: StatusReply): string {
  const lines = [`host ${status.hostId}, document version ${status.documentVersion}`];
  for (const host of status.behindHosts) {
    lines.push(`behind: ${host.hostId} at version ${host.documentVersion}`);
  }
  for (const [feature, fields] of Object.entries(status.features)) {
    const text = Object.entries(fields).map(([name, value]) => `${name}=${JSON.stringify(value)}`);
    lines.push(`${feature}: ${text.join(' ')}`);
  }
  return lines.join('\n');
}

/** Shows the state of a host, its features and the hosts that are behind. */
export class StatusCommand extends AdminCommand {
  static override paths = [['status']];

  static override usage = Command.Usage({
    description: 'Show the state of a host, its features, and the hosts that are behind.',
    examples: [
      ['Of a named host', 'buckthornlugctl status --admin http://127.0.0.1:7003'],
      ['As JSON', 'buckthornlugctl status --json'],
    ],
  });

  async execute(): Promise<number> {
    const answer = await this.client().get('/v1/status');
    return this.finish(
      answer.map((value) => statusReplySchema.parse(value)),
      formatStatus,
    );
  }
}
