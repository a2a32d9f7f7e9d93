import type { TimelineEvent } from '@buckthornlug/protocol/events/eventSchema.js';

import { compareHybridTime } from './hybridClock.js';

/** Which events of a time line are wanted; an absent field lets all pass. */
export interface TimelineFilter {
  readonly requestId?: string;
  readonly version?: number;
  readonly service?: string;
  readonly hostId?: string;
  readonly kind?: string;
  /** Wall time in milliseconds; earlier events are left out. */
  readonly sinceMs?: number;
}

/**
 * Tells whether an event passes a filter.
 *
 * @param event - event
 * @param filter - fields that must agree
 */
export function matchesFilter(event: TimelineEvent, filter: TimelineFilter): boolean {
  if (filter.requestId !== undefined && event.requestId !== filter.requestId) return false;
  if (filter.version !== undefined && event.version !== filter.version) return false;
  if (filter.service !== undefined && event.service !== filter.service) return false;
  if (filter.hostId !== undefined && event.hostId !== filter.hostId) return false;
  if (filter.kind !== undefined && event.kind !== filter.kind) return false;
  return filter.sinceMs === undefined || event.at.wallMs >= filter.sinceMs;
}

/**
 * Orders two events: by hybrid time, which respects messages between hosts, then by host and number
 * for a stable order of concurrent events.
 */
function compareEvents(left: TimelineEvent, right: TimelineEvent): number {
  const byTime = compareHybridTime(left.at, right.at);
  if (byTime !== 0) return byTime;
  if (left.hostId !== right.hostId) return left.hostId < right.hostId ? -1 : 1;
  return left.sequence - right.sequence;
}

/**
 * Merges the events of several hosts in causal order. An event that came twice stands once.
 *
 * @param eventsByHost - events of each host
 * @param filter - which events are wanted
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

/**
 * Writes an event as one line for people.
 *
 * @param event - event
 */
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
