import type { Draws } from '../random/draws.js';
import type { VirtualTime } from '../time/virtualTime.js';
import type { FakeShiftControl } from './fakeShiftControl.js';
import type { ShiftHost } from './shiftHost.js';

/** Longest delay of one message between hosts. */
const messageMs = 60;
const messageLost = 0.05;
/** Longest time until a membership record is known to the control hosts. */
const recordMs = 1000;

/** What the spreading is given. */
export interface StepSpreadingParts {
  readonly time: VirtualTime;
  readonly random: Draws;
  readonly control: FakeShiftControl;
  readonly controlHosts: readonly string[];
  readonly hosts: ReadonlyMap<string, ShiftHost>;
}

/** Spreads steps from host to host by polls, and their revisions by membership records. */
export class FakeStepSpreading {
  private readonly recorded = new Map<string, number>();

  constructor(private readonly parts: StepSpreadingParts) {}

  /** Revision in the membership record of a host. */
  recordedRevision(hostId: string): number {
    return this.recorded.get(hostId) ?? 0;
  }

  /** Asks for newer steps: members the committed table, other hosts any host. */
  poll(asking: ShiftHost): void {
    const { time, random, control, controlHosts, hosts } = this.parts;
    const others = [...hosts.values()].filter((host) => host !== asking);
    const isMember = controlHosts.includes(asking.place.hostId);
    const source = isMember ? undefined : others[random.below(others.length)];
    const { revision } = asking.table;
    time.schedule(random.between(1, messageMs), () => {
      const isSilent = source !== undefined && !source.processTime.isRunning;
      if (isSilent || random.chance(messageLost)) return;
      const steps = (source?.table ?? control.table).stepsSince(revision);
      asking.processTime.schedule(random.between(1, messageMs), () => {
        const news = steps.filter((step) => asking.table.applyCommitted(step));
        if (news.length > 0) this.report(asking);
      });
    });
  }

  /** Has the membership record of a process tell its revision some time later. */
  report(host: ShiftHost): void {
    const { time, random, hosts } = this.parts;
    const { hostId } = host.place;
    time.schedule(random.between(1, recordMs), () => {
      if (hosts.get(hostId) === host) this.recorded.set(hostId, host.table.revision);
    });
  }
}
