import type { GroupSettings, Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

/**
 * Lists the hosts of the settings that start a group; none where the group is not set up.
 *
 * @param settings - settings with the groups
 * @param groupId - group
 */
export function findConfiguredMembers(
  { groups }: Pick<Settings, 'groups'>,
  groupId: string,
): readonly string[] {
  return groups.find(({ id }) => id === groupId)?.members ?? [];
}

/**
 * Finds what the settings say of a group.
 *
 * @param settings - settings with the groups
 * @param groupId - group
 */
export function findGroupSettings(
  { groups }: Pick<Settings, 'groups'>,
  groupId: string,
): GroupSettings | undefined {
  return groups.find(({ id }) => id === groupId);
}

/**
 * Tells whether a host holds a replica of a group: as one that starts it, or by joining it.
 *
 * @param settings - settings of the host
 * @param groupId - group
 */
export function holdsReplica(
  settings: Pick<Settings, 'groups' | 'hostId' | 'roles' | 'dataFolder'>,
  groupId: string,
): boolean {
  if (settings.dataFolder === undefined) return false;
  const group = findGroupSettings(settings, groupId);
  if (group === undefined) return false;
  if (group.members.includes(settings.hostId)) return true;
  return group.admitsControlHosts === true && settings.roles.includes('control');
}
