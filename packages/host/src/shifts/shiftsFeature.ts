import { okAsync } from 'neverthrow';

import type { Feature, HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { ShiftAdmission } from './shiftAdmission.js';
import { ShiftFollower } from './shiftFollower.js';
import { ShiftLeader } from './shiftLeader.js';
import { registerShiftRoutes } from './shiftRoutes.js';

const controlGroupId = 'control';
/** Interval at which the receiver's limits follow the document and the pool owners. */
const observeMs = 50;
/** Interval at which a leader plans. */
const planMs = 200;

function createFollower(context: HostContext, parts: HostParts): ShiftFollower {
  const { groups } = context.settings;
  const members = groups.find((group) => group.id === controlGroupId)?.members ?? [];
  return new ShiftFollower({
    context,
    controlHosts: () => members,
    exchange: (hostId, request) =>
      parts.peers.request(hostId, (client, signal) =>
        client.shifts.exchange.query(request, { signal }),
      ),
  });
}

function createLeader(context: HostContext, parts: HostParts): ShiftLeader | undefined {
  const { control } = parts;
  if (control === undefined || !control.isMember) return undefined;
  return new ShiftLeader({ context, control, membership: () => parts.membership });
}

/** Steps of shifts: planned by the leader of the control group, held and enforced by every host. */
export const shiftsFeature: Feature = {
  name: 'shifts',
  wanted: () => true,
  start: (context, parts) => {
    const { log } = context;
    const follower = createFollower(context, parts);
    const leader = createLeader(context, parts);
    const admission = new ShiftAdmission({
      context,
      document: parts.document,
      poolOwner: (zone, service) => parts.poolOwner(zone, service),
    });
    parts.provide({
      shifts: {
        admitShifted: admission.admitShifted,
        movedPermille: (service, scope, place) =>
          follower.table.movedPermille({ service, scope, place }),
      },
    });
    if (leader !== undefined) {
      parts.rpcHandlers.shifts = { exchange: (from, request) => leader.exchange(from, request) };
    }
    parts.adminRoutes.push((app) =>
      registerShiftRoutes(app, {
        document: parts.document,
        table: () => follower.table,
        failedRegions: () => new Set(),
        isHeld: () => follower.isHeld,
      }),
    );
    const report = (error: unknown) => log.error('shiftTickFailed', { problem: String(error) });
    const timers = [
      setInterval(() => admission.observe(), observeMs),
      setInterval(() => follower.tick().catch(report), context.settings.timing.documentPollMs),
      setInterval(() => leader?.tick().catch(report), planMs),
    ];
    return okAsync({
      name: 'shifts',
      stopSteps: {
        closeTasks: async () => {
          for (const timer of timers) clearInterval(timer);
        },
      },
      status: () => ({ revision: follower.table.revision, held: follower.isHeld }),
    });
  },
};
