import type { TimelineEvent } from '@buckthornlug/protocol/events/eventSchema.js';

import { formatEvent } from './timeline.js';

const laneHeightPx = 36;
const pageWidthPx = 1400;
const labelWidthPx = 180;
const markRadiusPx = 5;

/** Hue of an event's mark, by the first word of the kind of event. */
const hueByKindWord: Readonly<Record<string, number>> = {
  host: 210,
  submission: 270,
  document: 270,
  lookup: 180,
  backend: 120,
  slot: 90,
  credit: 90,
  admission: 20,
  call: 0,
  shift: 45,
  ledger: 300,
  leader: 240,
  member: 160,
  replica: 240,
  storage: 0,
  key: 0,
};

function escapeText(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

function hueOf(kind: string): number {
  const word = /^[a-z]+/.exec(kind)?.[0] ?? '';
  return hueByKindWord[word] ?? 200;
}

function sortLaneHosts(events: readonly TimelineEvent[]): string[] {
  const zoneByHost = new Map(events.map((event) => [event.hostId, event.availabilityZone]));
  return [...zoneByHost.keys()].sort((left, right) =>
    `${zoneByHost.get(left)} ${left}`.localeCompare(`${zoneByHost.get(right)} ${right}`),
  );
}

/**
 * Renders a timeline as a self-contained HTML page with one lane per host.
 *
 * @param events - merged events in order
 * @param missingHosts - hosts whose events could not be read
 */
export function renderTimelinePage(
  events: readonly TimelineEvent[],
  missingHosts: readonly string[],
): string {
  const lanes = sortLaneHosts(events);
  const firstMs = events[0]?.at.wallMs ?? 0;
  const spanMs = Math.max(1, (events.at(-1)?.at.wallMs ?? 0) - firstMs);
  const xPositionOf = (event: TimelineEvent) =>
    labelWidthPx + ((event.at.wallMs - firstMs) / spanMs) * (pageWidthPx - labelWidthPx - 20);
  const laneRows = lanes.map((hostId, lane) => {
    const y = lane * laneHeightPx + laneHeightPx / 2;
    return (
      `<text x="4" y="${y + 4}">${escapeText(hostId)}</text>` +
      `<line x1="${labelWidthPx}" x2="${pageWidthPx}" y1="${y}" y2="${y}" stroke="#ddd"/>`
    );
  });
  const marks = events.map((event) => {
    const y = lanes.indexOf(event.hostId) * laneHeightPx + laneHeightPx / 2;
    const fill = `hsl(${hueOf(event.kind)} 70% 45%)`;
    const title = escapeText(formatEvent(event));
    return `<circle cx="${xPositionOf(event).toFixed(1)}" cy="${y}" r="${markRadiusPx}" fill="${fill}"><title>${title}</title></circle>`;
  });
  const missing =
    missingHosts.length === 0 ? '' : `<p>Not reached: ${escapeText(missingHosts.join(', '))}</p>`;
  const lines = events.map((event) => escapeText(formatEvent(event))).join('\n');
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Time line</title>',
    '<style>body{font:13px system-ui;margin:16px}pre{font:12px ui-monospace,monospace}</style>',
    `</head><body><h1>Time line</h1><p>${events.length} events over ${spanMs} ms</p>${missing}`,
    `<svg width="${pageWidthPx}" height="${lanes.length * laneHeightPx}">`,
    ...laneRows,
    ...marks,
    `</svg><pre>${lines}</pre></body></html>`,
  ].join('\n');
}
