import type { VirtualTime } from '../time/virtualTime.js';

/** A modelled backend server: slots, a queue, and a memory of the objects that it handled last. */
export class ReplayBackend {
  private readonly kept = new Set<string>();

  private readonly queue: (() => void)[] = [];

  private running = 0;

  /** Factor on the time of its work. */
  slowFactor = 1;

  /**
   * @param time - virtual time
   * @param slots - calls that run at the same time
   * @param keptObjects - objects that it keeps
   * @param warmPart - part of the work time that is left for an object that it keeps
   */
  constructor(
    private readonly time: VirtualTime,
    private readonly slots: number,
    private readonly keptObjects: number,
    private readonly warmPart: number,
  ) {}

  /**
   * Runs a call once a slot is free.
   *
   * @param objectKey - object of the call
   * @param workMs - time of the work where the object is not kept
   * @param done - told whether the object was kept, and of the load before the answer
   */
  run(
    objectKey: string,
    workMs: number,
    done: (isWarm: boolean, load: { running: number; waiting: number }) => void,
  ): void {
    const start = () => {
      this.running += 1;
      const isWarm = this.kept.has(objectKey);
      this.keep(objectKey);
      this.time.schedule(workMs * this.slowFactor * (isWarm ? this.warmPart : 1), () => {
        this.running -= 1;
        this.queue.shift()?.();
        done(isWarm, { running: this.running, waiting: this.queue.length });
      });
    };
    if (this.running < this.slots) start();
    else this.queue.push(start);
  }

  private keep(objectKey: string): void {
    this.kept.delete(objectKey);
    this.kept.add(objectKey);
    if (this.kept.size <= this.keptObjects) return;
    const [oldest] = this.kept;
    if (oldest !== undefined) this.kept.delete(oldest);
  }
}
