import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

/**
 * Lists the hosts of the settings that start a group; none where the group is not set up.
 *
 * @param settings - settings with the groups
 * @param groupId - group
 */
export function groupMembersOf(
  { groups }: Pick<Settings, 'groups'>,
  groupId: string,
): readonly string[] {
  return groups.find(({ id }) => id === groupId)?.members ?? [];
}
