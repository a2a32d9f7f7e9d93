import { setTimeout as delay } from 'node:timers/promises';

import type { ControlFleet } from './controlFleet.js';

/** Watches the version of the document in force on every host of a fleet. */

const intervalMs = 10;

/** A version that was lower than one seen before on the same host. */
export interface Reversal {
  readonly hostId: string;
  readonly before: number;
  readonly after: number;
}

/** What was seen so far. */
export interface VersionWatch {
  /** Highest version seen on any host. */
  readonly highest: () => number;
  /** Last version seen on a host; undefined before the first. */
  readonly last: (hostId: string) => number | undefined;
  /** Hosts that went back, across restarts; a host that has no document yet does not count. */
  readonly reverted: () => readonly Reversal[];
  readonly stop: () => Promise<void>;
}

/**
 * Asks every host for its version again and again, until it is stopped.
 *
 * @param fleet - hosts to ask; those that do not answer are asked again
 */
export function watchVersions(fleet: ControlFleet): VersionWatch {
  const seen = new Map<string, number>();
  const reversals: Reversal[] = [];
  let isStopped = false;

  const note = (hostId: string, version: number) => {
    const before = seen.get(hostId) ?? 0;
    if (version < before) reversals.push({ hostId, before, after: version });
    seen.set(hostId, version);
  };
  const follow = async (hostId: string) => {
    while (!isStopped) {
      const { body } = await fleet.ask(hostId, '/v1/status');
      const version = (body as { documentVersion?: number } | undefined)?.documentVersion ?? 0;
      if (version > 0) note(hostId, version);
      await delay(intervalMs);
    }
  };
  const followers = fleet.hostIds().map(follow);
  return {
    highest: () => Math.max(0, ...seen.values()),
    last: (hostId) => seen.get(hostId),
    reverted: () => reversals,
    stop: async () => {
      isStopped = true;
      await Promise.race([Promise.all(followers), delay(100)]);
    },
  };
}
