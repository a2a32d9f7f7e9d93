import { mergeTimelines, type TimelineFilter } from '@buckthornlug/core/timeline/timeline.js';
import { renderTimelinePage } from '@buckthornlug/core/timeline/timelinePage.js';
import type { TimelineEvent } from '@buckthornlug/protocol/events/eventSchema.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Hono } from 'hono';
import type { ResultAsync } from 'neverthrow';

import type { TimelinePart } from './timelineSchema.js';

/** Sources of the events that the routes return. */
export interface TimelineSources {
  readonly readLocal: () => TimelinePart;
  /** Ids of the other hosts to read from. */
  readonly otherHosts: () => readonly string[];
  readonly readRemote: (hostId: string) => ResultAsync<TimelinePart, Failure>;
}

/** Merged timeline of all hosts that answered. */
export interface MergedTimeline {
  readonly events: readonly TimelineEvent[];
  readonly missingHosts: readonly string[];
}

const defaultEventLimit = 2000;

function parseOptionalNumber(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const value = Number(text);
  return Number.isFinite(value) ? value : undefined;
}

/**
 * Parses the filter of a request.
 *
 * @param query - returns one query parameter
 */
export function parseFilter(query: (name: string) => string | undefined): TimelineFilter {
  return {
    requestId: query('request'),
    version: parseOptionalNumber(query('version')),
    service: query('service'),
    hostId: query('host'),
    kind: query('kind'),
    sinceMs: parseOptionalNumber(query('sinceMs')),
  };
}

/**
 * Reads the events of every host and merges those that match the filter.
 */
export async function readMergedTimeline(
  sources: TimelineSources,
  filter: TimelineFilter,
): Promise<MergedTimeline> {
  const hostIds = sources.otherHosts();
  const answers = await Promise.all(hostIds.map((hostId) => sources.readRemote(hostId)));
  const eventsPerHost = [sources.readLocal().events];
  const missingHosts: string[] = [];
  for (const [index, answer] of answers.entries()) {
    if (answer.isOk()) eventsPerHost.push(answer.value.events);
    else missingHosts.push(hostIds[index] ?? '');
  }
  return { events: mergeTimelines(eventsPerHost, filter), missingHosts };
}

/**
 * Registers the routes of the timeline on the administration API.
 */
export function registerTimelineRoutes(app: Hono, sources: TimelineSources): void {
  app.get('/v1/timeline', async (context) => {
    const filter = parseFilter((name) => context.req.query(name));
    const limit = parseOptionalNumber(context.req.query('limit')) ?? defaultEventLimit;
    const merged = await readMergedTimeline(sources, filter);
    return context.json({ ...merged, events: merged.events.slice(-limit) });
  });
  app.get('/timeline.html', async (context) => {
    const filter = parseFilter((name) => context.req.query(name));
    const merged = await readMergedTimeline(sources, filter);
    const events = merged.events.slice(-defaultEventLimit);
    return context.html(renderTimelinePage(events, merged.missingHosts));
  });
}
