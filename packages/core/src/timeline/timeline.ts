import type { TimelineEvent } from '@buckthornlug/protocol/events/eventSchema.js';

import { compareHybridTime } from './hybridClock.js';

/** Filter of timeline events; an absent field matches every event. */
export interface TimelineFilter {
  readonly requestId?: string;
  readonly version?: number;
  readonly service?: string;
  readonly hostId?: string;
  readonly kind?: string;
  /** Wall time in milliseconds; earlier events are left out. */
  readonly sinceMs?: number;
}

/** Checks whether an event matches every field of a filter. */
export function matchesFilter(event: TimelineEvent, filter: TimelineFilter): boolean {
  if (filter.requestId !== undefined && event.requestId !== filter.requestId) return false;
  if (filter.version !== undefined && event.version !== filter.version) return false;
  if (filter.service !== undefined && event.service !== filter.service) return false;
  if (filter.hostId !== undefined && event.hostId !== filter.hostId) return false;
  if (filter.kind !== undefined && event.kind !== filter.kind) return false;
  return filter.sinceMs === undefined || event.at.wallMs >= filter.sinceMs;
}

/**
 * Orders events by hybrid time, which preserves causality between hosts, then by host and sequence
 * number for a stable order of concurrent events.
 */
function compareEvents(left: TimelineEvent, right: TimelineEvent): number {
  const byTime = compareHybridTime(left.at, right.at);
  if (byTime !== 0) return byTime;
  if (left.hostId !== right.hostId) return left.hostId < right.hostId ? -1 : 1;
  return left.sequence - right.sequence;
}

/**
 * Merges the events of several hosts in causal order and removes duplicates.
 *
 * @param eventsByHost - one list of events per host
 * @param filter - events that do not match are left out
 */
export function mergeTimelines(
  eventsByHost: readonly (readonly TimelineEvent[])[],
  filter: TimelineFilter = {},
): TimelineEvent[] {
  const unique = new Map<string, TimelineEvent>();
  for (const events of eventsByHost) {
    for (const event of events) {
      if (!matchesFilter(event, filter)) continue;
      unique.set(`${event.hostId} ${event.incarnation} ${event.sequence}`, event);
    }
  }
  return [...unique.values()].sort(compareEvents);
}

/** Formats an event as one human-readable line. */
export function formatEvent(event: TimelineEvent): string {
  const parts = [
    new Date(event.at.wallMs).toISOString().slice(11, 23),
    event.availabilityZone.padEnd(14),
    event.hostId.padEnd(16),
    event.kind.padEnd(20),
  ];
  if (event.service !== undefined) parts.push(`service=${event.service}`);
  if (event.version !== undefined) parts.push(`version=${event.version}`);
  if (event.requestId !== undefined) parts.push(`request=${event.requestId}`);
  if (event.code !== undefined) parts.push(`code=${event.code}`);
  for (const [key, value] of Object.entries(event.detail)) parts.push(`${key}=${value}`);
  return parts.join(' ');
}
