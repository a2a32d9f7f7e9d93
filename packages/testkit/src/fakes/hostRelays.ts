import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import { startRelay, type Relay } from './relay.js';

/** A relay for each direction in which one host of a fleet connects to another. */

const firstRelayNumber = 100;

/** One planned relay. */
interface PlannedRelay {
  readonly from: string;
  readonly to: string;
  readonly listenOn: Endpoint;
  readonly target: Endpoint;
}

/** Relays by `from>to`. */
export type HostRelays = ReadonlyMap<string, Relay>;

function planRelays(settings: readonly Settings[], network: string): PlannedRelay[] {
  const planned: PlannedRelay[] = [];
  for (const from of settings) {
    for (const to of settings) {
      if (from === to) continue;
      const target = to.listen.internal;
      const address = `${network}.${firstRelayNumber + planned.length}`;
      const listenOn = { address, port: target.port };
      planned.push({ from: from.hostId, to: to.hostId, listenOn, target });
    }
  }
  return planned;
}

/**
 * Makes each host reach the others through relays.
 *
 * @param settings - settings of the fleet
 * @param network - loopback network
 */
export function throughRelays(settings: readonly Settings[], network: string): Settings[] {
  const planned = planRelays(settings, network);
  return settings.map((one) => {
    const own = planned.filter(({ from }) => from === one.hostId);
    const peerAddresses = Object.fromEntries(own.map(({ to, listenOn }) => [to, listenOn]));
    return { ...one, peerAddresses };
  });
}

/**
 * Starts the relays of a fleet.
 *
 * @param settings - settings of the fleet
 * @param network - loopback network
 */
export async function startRelays(
  settings: readonly Settings[],
  network: string,
): Promise<HostRelays> {
  const relays = new Map<string, Relay>();
  for (const { from, to, listenOn, target } of planRelays(settings, network)) {
    relays.set(`${from}>${to}`, await startRelay(listenOn, target));
  }
  return relays;
}

/**
 * Finds the relays on the ways from and to a host.
 *
 * @param relays - relays of the fleet
 * @param hostId - host
 */
export function relaysOf(relays: HostRelays, hostId: string): Relay[] {
  const own: Relay[] = [];
  for (const [way, relay] of relays) {
    if (way.split('>').includes(hostId)) own.push(relay);
  }
  return own;
}

/** Stops every relay. */
export async function stopRelays(relays: HostRelays): Promise<void> {
  await Promise.all([...relays.values()].map((relay) => relay.stop()));
}
