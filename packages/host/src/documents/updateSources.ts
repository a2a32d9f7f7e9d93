import { isParticipating } from '@buckthornlug/core/membership/memberStamp.js';
import { SourceOrder } from '@buckthornlug/core/spreading/sourceOrder.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import type { HostRecord, MembershipView } from '../runtime/hostTypes.js';

/** Settings and membership from which the sources are chosen. */
export interface UpdateSourcesParts {
  readonly settings: Pick<Settings, 'hostId' | 'availabilityZone' | 'roles' | 'peers'>;
  /** Members of the control group according to the settings. */
  readonly controlMembers: readonly string[];
  readonly membership: () => Pick<MembershipView, 'hosts'>;
  /** Relays of this host's zone. */
  readonly zoneRelays: () => readonly string[];
}

/** Hosts that this host polls for updates; the membership is filtered only after it has changed. */
export class UpdateSources {
  private readonly order: SourceOrder;

  private hosts: readonly HostRecord[] = [];

  private candidates: readonly HostRecord[] = [];

  constructor(private readonly parts: UpdateSourcesParts) {
    this.order = new SourceOrder(parts.settings);
  }

  /** Hosts to poll, the best first; the peers of the settings if no other host participates. */
  list(): readonly string[] {
    const { settings, controlMembers, membership, zoneRelays } = this.parts;
    const hosts = membership().hosts();
    const relays = zoneRelays();
    if (hosts !== this.hosts) {
      this.hosts = hosts;
      this.candidates = hosts.filter(
        (host) => isParticipating(host.state) && host.hostId !== settings.hostId,
      );
    }
    if (this.candidates.length === 0) return settings.peers.map((peer) => peer.hostId);
    return this.order.order({ candidates: this.candidates, controlMembers, zoneRelays: relays });
  }
}
