/**
 * Notices that the monotonic clock may have stood still, as while a machine is suspended: the wall clock
 * parts from it. A step of the wall clock looks the same, so that it is known only that times before are no
 * measure of age.
 */

/** Difference between two observations above which the clocks have parted; a slew stays far below. */
export const maxPartingMs = 200;

export class ClockWatch {
  /** Wall time minus monotonic time; undefined before the first observation. */
  private offsetMs: number | undefined;

  /** Time by which the wall clock has gained on the monotonic one since the last observation. */
  partingMs(nowMs: number, wallMs: number): number {
    return this.offsetMs === undefined ? 0 : wallMs - nowMs - this.offsetMs;
  }

  /** Whether the clocks have parted since the last observation. */
  haveParted(nowMs: number, wallMs: number): boolean {
    return Math.abs(this.partingMs(nowMs, wallMs)) > maxPartingMs;
  }

  observe(nowMs: number, wallMs: number): void {
    this.offsetMs = wallMs - nowMs;
  }
}
