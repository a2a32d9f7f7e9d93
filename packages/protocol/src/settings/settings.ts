import { err, ok, type Result } from 'neverthrow';

import { faultsOf } from '../common/faults.js';
import { failure, type Failure, type Fault } from '../results/failure.js';
import { settingsSchema, type Settings } from './settingsSchema.js';

function crossFieldFaults(settings: Settings): Fault[] {
  const faults: Fault[] = [];
  if (settings.roles.includes('control') && settings.dataFolder === undefined) {
    faults.push({
      path: 'dataFolder',
      problem: 'a host with the role control needs a data folder',
    });
  }
  const known = new Set([settings.hostId, ...settings.peers.map((peer) => peer.hostId)]);
  for (const [groupIndex, group] of settings.groups.entries()) {
    for (const [memberIndex, member] of group.members.entries()) {
      if (known.has(member)) continue;
      const path = `groups/${groupIndex}/members/${memberIndex}`;
      faults.push({ path, problem: `host "${member}" is not among the peers` });
    }
  }
  return faults;
}

/**
 * Validates settings and fills in the defaults.
 *
 * @param value - parsed JSON
 * @returns the settings, or BL1003 with every fault and its path
 */
export function checkSettings(value: unknown): Result<Settings, Failure> {
  const parsed = settingsSchema.safeParse(value);
  if (!parsed.success) {
    return err(failure('BL1003', 'settings are not valid', { faults: faultsOf(parsed.error) }));
  }
  const faults = crossFieldFaults(parsed.data);
  if (faults.length > 0) return err(failure('BL1003', 'settings are not valid', { faults }));
  return ok(parsed.data);
}
