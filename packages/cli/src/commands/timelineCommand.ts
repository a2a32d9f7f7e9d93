import { setTimeout as delay } from 'node:timers/promises';

import { formatEvent } from '@buckthornlug/core/timeline/timeline.js';
import { renderTimelinePage } from '@buckthornlug/core/timeline/timelinePage.js';
import { timelineEventSchema } from '@buckthornlug/protocol/events/eventSchema.js';
import { Command, Option } from 'clipanion';
import { writeFile } from 'node:fs/promises';
import { z } from 'zod';

import { AdminCommand } from './adminCommand.js';

const mergedTimelineSchema = z.object({
  events: z.array(timelineEventSchema),
  missingHosts: z.array(z.string()),
});

const followIntervalMs = 1000;
/** How late events of a slow host may appear and still be shown. */
const followOverlapMs = 5000;

/** Shows the merged time line of all hosts. */
export class TimelineCommand extends AdminCommand {
  static override paths = [['timeline']];

  static override usage = Command.Usage({
    description: 'Show the events of all hosts in causal order, and the hosts that are missing.',
    examples: [
      ['Spread of one version', 'buckthornlugctl timeline --version 12'],
      ['One request', 'buckthornlugctl timeline --request 5f0c'],
      ['Live', 'buckthornlugctl timeline --follow'],
      ['As a page with a lane per host', 'buckthornlugctl timeline --html timeline.html'],
    ],
  });

  request = Option.String('--request', { description: 'Only this request.' });

  version = Option.String('--version', { description: 'Only this version of the document.' });

  service = Option.String('--service', { description: 'Only this service.' });

  host = Option.String('--host', { description: 'Only this host.' });

  kind = Option.String('--kind', { description: 'Only this kind of event.' });

  limit = Option.String('--limit', '200', { description: 'Largest number of events.' });

  follow = Option.Boolean('--follow', false, { description: 'Keep printing new events.' });

  html = Option.String('--html', { description: 'File to write as an HTML page.' });

  private query(sinceMs?: number): string {
    const query = new URLSearchParams({ limit: this.limit });
    const filters = {
      request: this.request,
      version: this.version,
      service: this.service,
      host: this.host,
      kind: this.kind,
      sinceMs: sinceMs?.toString(),
    };
    for (const [name, value] of Object.entries(filters)) {
      if (value !== undefined) query.set(name, value);
    }
    return `/v1/timeline?${query}`;
  }

  private async followEvents(): Promise<never> {
    const shown = new Set<string>();
    let sinceMs = Date.now();
    for (;;) {
      const answer = await this.client().get(this.query(sinceMs - followOverlapMs));
      if (answer.isOk()) {
        for (const event of mergedTimelineSchema.parse(answer.value).events) {
          const key = `${event.hostId} ${event.incarnation} ${event.sequence}`;
          if (!shown.has(key)) this.context.stdout.write(`${formatEvent(event)}\n`);
          shown.add(key);
        }
        sinceMs = Date.now();
      }
      await delay(followIntervalMs);
    }
  }

  async execute(): Promise<number> {
    if (this.follow) return this.followEvents();
    const answer = await this.client().get(this.query());
    const merged = answer.map((value) => mergedTimelineSchema.parse(value));
    if (merged.isOk() && this.html !== undefined) {
      const { events, missingHosts } = merged.value;
      await writeFile(this.html, renderTimelinePage(events, missingHosts));
      this.context.stdout.write(`${events.length} events in ${this.html}\n`);
      return 0;
    }
    return this.finish(merged, ({ events, missingHosts }) => {
      const lines = events.map(formatEvent);
      if (missingHosts.length > 0) lines.push(`not reached: ${missingHosts.join(', ')}`);
      return lines.join('\n');
    });
  }
}
