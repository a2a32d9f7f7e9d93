import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import { loopbackAddress } from '../fakes/loopback.js';
import { startRelay, type Relay } from '../fakes/relay.js';

const firstRelayNumber = 150;
const relayPort = 7200;

/** A relay between each two hosts, by which the way between them can be stalled. */
export class RelayMesh {
  private readonly relays = new Map<string, Relay[]>();

  /**
   * Starts the relays.
   *
   * @param fleet - settings of the hosts
   * @returns the settings with the relays as addresses of the peers
   */
  async start(fleet: readonly Settings[]): Promise<Settings[]> {
    const relayed: Settings[] = [];
    for (const settings of fleet) {
      const peerAddresses: Settings['peerAddresses'] = {};
      for (const peer of settings.peers) {
        const number = [...this.relays.values()].reduce((sum, each) => sum + each.length, 0) / 2;
        const endpoint = { address: loopbackAddress(firstRelayNumber + number), port: relayPort };
        const relay = await startRelay(endpoint, peer.internal);
        this.note(settings.hostId, relay);
        this.note(peer.hostId, relay);
        peerAddresses[peer.hostId] = endpoint;
      }
      relayed.push({ ...settings, peerAddresses });
    }
    return relayed;
  }

  /** Stalls every way from and to a host, silently. */
  stall(hostId: string): void {
    for (const relay of this.relays.get(hostId) ?? []) relay.stall('forth', 'back');
  }

  heal(hostId: string): void {
    for (const relay of this.relays.get(hostId) ?? []) relay.heal();
  }

  async stop(): Promise<void> {
    const relays = new Set([...this.relays.values()].flat());
    await Promise.all([...relays].map((relay) => relay.stop()));
  }

  private note(hostId: string, relay: Relay): void {
    const own = this.relays.get(hostId) ?? [];
    own.push(relay);
    this.relays.set(hostId, own);
  }
}
