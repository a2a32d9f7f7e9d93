import { ClockWatch } from '@buckthornlug/core/clocks/clockWatch.js';

import type { Clock } from './hostTypes.js';

/** Clocks of the machine; a monotonic clock does not count the time of a suspension. */
export interface MachineClocks {
  readonly monotonicMs: () => number;
  readonly wallMs: () => number;
}

const machineClocks: MachineClocks = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/** Creates the clock of a process, which compares the machine's clocks whenever its time is read. */
export function createProcessClock(clocks: MachineClocks = machineClocks): Clock {
  const { monotonicMs, wallMs } = clocks;
  const watch = new ClockWatch();
  const listeners = new Set<(nowMs: number, partingMs: number) => void>();
  const nowMs = () => {
    let readAtMs = monotonicMs();
    let readWallMs = wallMs();
    if (watch.haveParted(readAtMs, readWallMs)) {
      // The process may have been held up between the two readings.
      readAtMs = monotonicMs();
      readWallMs = wallMs();
    }
    const hasParted = watch.haveParted(readAtMs, readWallMs);
    const partingMs = watch.partingMs(readAtMs, readWallMs);
    watch.observe(readAtMs, readWallMs);
    if (hasParted) for (const listener of listeners) listener(readAtMs, partingMs);
    return readAtMs;
  };
  return {
    nowMs,
    wallMs,
    onBreak: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
