import { ShiftTable } from '@buckthornlug/core/shifts/shiftTable.js';
import { ShiftAdmission } from '@buckthornlug/host/shifts/shiftAdmission.js';
import { ShiftLeader } from '@buckthornlug/host/shifts/shiftLeader.js';
import type { ShiftControl } from '@buckthornlug/host/shifts/shiftTaskTypes.js';
import type { DocumentInForce, HostRecord } from '@buckthornlug/host/runtime/hostTypes.js';
import { createMetrics } from '@buckthornlug/host/metrics/metrics.js';
import { checkSettings } from '@buckthornlug/protocol/settings/settings.js';
import type { EventInput } from '@buckthornlug/protocol/events/eventSchema.js';

import { ProcessTime } from '../time/processTime.js';
import type { VirtualTime } from '../time/virtualTime.js';

/** Place of a host. */
export interface ShiftHostPlace {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
}

/** What a host of the test is given. */
export interface ShiftHostParts {
  readonly place: ShiftHostPlace;
  readonly time: VirtualTime;
  readonly document: () => DocumentInForce;
  readonly hosts: () => readonly HostRecord[];
  readonly poolOwner: (zone: string) => string | undefined;
  readonly memberFor?: (processTime: ProcessTime) => ShiftControl;
  /** Asks another host for the steps that this one lacks. */
  readonly poll: (host: ShiftHost) => void;
  readonly record: (event: EventInput) => void;
}

const observeMs = 50;
const planMs = 200;
const silentLog = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

function buildSettings(place: ShiftHostPlace) {
  const key = { id: 'key', secret: '0123456789abcdef' };
  const checked = checkSettings({
    ...place,
    roles: ['entry'],
    listen: {
      callers: { address: '127.0.0.1', port: 1 },
      internal: { address: '127.0.0.1', port: 2 },
      admin: { address: '127.0.0.1', port: 3 },
    },
    clusterKeys: [key],
    announceKeys: [key],
  });
  if (checked.isErr()) throw new Error(checked.error.detail);
  return checked.value;
}

/** A process with the real shift tasks, in virtual time. */
export class ShiftHost {
  readonly processTime: ProcessTime;

  /** Steps that the process has learned. */
  readonly table = new ShiftTable();

  readonly admission: ShiftAdmission;

  readonly leader: ShiftLeader | undefined;

  constructor(private readonly parts: ShiftHostParts) {
    const { time, place } = parts;
    this.processTime = new ProcessTime(time);
    const settings = buildSettings(place);
    const clock = { nowMs: () => time.nowMs, wallMs: () => time.nowMs };
    const { record } = parts;
    const context = { settings, clock, record, metrics: createMetrics(), log: silentLog };
    this.admission = new ShiftAdmission({
      context,
      document: { current: () => parts.document() },
      poolOwner: (zone) => parts.poolOwner(zone),
      ownersVersion: () => parts.poolOwner(place.availabilityZone) ?? 'not known',
    });
    const control = parts.memberFor?.(this.processTime);
    const membership = () => ({ hosts: () => parts.hosts() });
    this.leader =
      control === undefined ? undefined : new ShiftLeader({ context, control, membership });
    this.repeat(observeMs, () => this.admission.observe());
    this.repeat(settings.timing.documentPollMs, () => parts.poll(this));
    if (this.leader !== undefined) this.repeat(planMs, () => this.leader?.tick());
  }

  get place(): ShiftHostPlace {
    return this.parts.place;
  }

  private repeat(intervalMs: number, run: () => Promise<void> | void): void {
    this.processTime.schedule(intervalMs, () => {
      run()?.catch((error: unknown) => {
        throw error;
      });
      this.repeat(intervalMs, run);
    });
  }
}
