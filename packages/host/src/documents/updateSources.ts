import { orderSources } from '@buckthornlug/core/spreading/sources.js';
import type { ControlVersions } from '@buckthornlug/core/spreading/spreadingTypes.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import type { HostParts } from '../runtime/hostParts.js';
import type { HostRecord } from '../runtime/hostTypes.js';

/** Other hosts as sources of updates. */

/** Whether a host still takes part. */
export function takesPart(host: HostRecord): boolean {
  return host.state !== 'failed' && host.state !== 'left';
}

/** Members of the control group by the settings. */
export function controlMembersOf({ groups }: Pick<Settings, 'groups'>): readonly string[] {
  return groups.find((group) => group.id === 'control')?.members ?? [];
}

/**
 * Hosts to ask for updates, the best first.
 *
 * @param settings - settings of this host
 * @param parts - membership of this host
 */
export function updateSources(
  settings: Settings,
  parts: Pick<HostParts, 'membership' | 'membershipTask'>,
): string[] {
  const { membership, membershipTask } = parts;
  const known = membership
    .hosts()
    .filter((host) => takesPart(host) && host.hostId !== settings.hostId);
  const ordered = orderSources({
    self: settings,
    candidates: known,
    controlMembers: controlMembersOf(settings),
    zoneRelays: membershipTask?.relaysOf(settings.availabilityZone) ?? [],
  });
  const others = known.length > 0 ? [] : settings.peers.map((peer) => peer.hostId);
  return [...ordered, ...others];
}

/**
 * Host with the newest document among those that hold more than this one.
 *
 * @param ownHostId - this host
 * @param parts - membership of this host
 * @param have - what this host holds
 */
export function newestElsewhere(
  ownHostId: string,
  parts: Pick<HostParts, 'membership'>,
  have: ControlVersions,
): HostRecord | undefined {
  let newest: HostRecord | undefined;
  for (const host of parts.membership.hosts()) {
    if (!takesPart(host) || host.hostId === ownHostId) continue;
    const isNewer =
      host.documentVersion > have.version || (host.shiftRevision ?? 0) > have.shiftRevision;
    if (isNewer && host.documentVersion >= (newest?.documentVersion ?? 0)) newest = host;
  }
  return newest;
}
