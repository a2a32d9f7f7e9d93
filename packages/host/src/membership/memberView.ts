import type { MembershipMachine } from '@buckthornlug/core/membership/membership.js';
import type { MemberEntry } from '@buckthornlug/core/membership/membershipTypes.js';

import type { HostRecord, MembershipView } from '../runtime/hostTypes.js';

function toHostRecord(entry: MemberEntry, previous?: HostRecord): HostRecord {
  const wasLeaving = previous?.incarnation === entry.incarnation && previous.isLeaving === true;
  return {
    ...entry.identity,
    incarnation: entry.incarnation,
    state: entry.state,
    ...(wasLeaving || entry.state === 'leaving' ? { isLeaving: true } : {}),
    documentVersion: entry.documentVersion,
    shiftRevision: entry.shiftRevision,
  };
}

/** View of the membership for other features; `refresh` updates it from the machine. */
export interface RefreshableView extends MembershipView {
  readonly refresh: () => void;
}

/** Creates a view of the membership machine of this host. */
export function createMemberView(
  machine: Pick<MembershipMachine, 'members' | 'ownEntry' | 'revision'>,
): RefreshableView {
  const listeners = new Set<() => void>();
  let revision = -1;
  let records = new Map<string, HostRecord>();
  let list: readonly HostRecord[] = [];
  const rebuild = () => {
    list = machine
      .members()
      .map((entry) => toHostRecord(entry, records.get(entry.identity.hostId)));
    records = new Map(list.map((record) => [record.hostId, record]));
    revision = machine.revision();
  };
  rebuild();
  return {
    self: () => toHostRecord(machine.ownEntry()),
    hosts: () => list,
    find: (hostId) => records.get(hostId),
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    refresh: () => {
      if (machine.revision() === revision) return;
      rebuild();
      for (const listener of listeners) listener();
    },
  };
}
