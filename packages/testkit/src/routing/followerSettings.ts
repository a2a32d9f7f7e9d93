import { checkSettings } from '@buckthornlug/protocol/settings/settings.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

/** Settings of an entry host that follows the given control hosts and opens no listener. */
export function createFollowerSettings(sourceIds: readonly string[]): Settings {
  return checkSettings({
    hostId: 'e1',
    region: 'north',
    availabilityZone: 'north-a',
    roles: ['entry'],
    listen: {
      callers: { address: '127.0.0.1', port: 1 },
      internal: { address: '127.0.0.1', port: 2 },
      admin: { address: '127.0.0.1', port: 3 },
    },
    peers: sourceIds.map((hostId, index) => ({
      hostId,
      internal: { address: '127.0.0.1', port: 10 + index },
    })),
    clusterKeys: [{ id: 'k-1', secret: '0123456789abcdef' }],
    announceKeys: [{ id: 'k-1', secret: '0123456789abcdef' }],
  })._unsafeUnwrap();
}
