import type { GroupSettings, Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

/** Returns the hosts that the settings list as members of a group; none if it is not configured. */
export function findConfiguredMembers(
  { groups }: Pick<Settings, 'groups'>,
  groupId: string,
): readonly string[] {
  return groups.find(({ id }) => id === groupId)?.members ?? [];
}

/** Finds the settings of a group. */
export function findGroupSettings(
  { groups }: Pick<Settings, 'groups'>,
  groupId: string,
): GroupSettings | undefined {
  return groups.find(({ id }) => id === groupId);
}

/** Whether a host holds a replica of a group, as a listed member or as an admitted control host. */
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
