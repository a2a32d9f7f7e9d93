import type { VirtualTime } from '../time/virtualTime.js';

/** How a modelled backend server works. */
export interface ReplayBackendModel {
  /** Calls that run at the same time. */
  readonly slots: number;
  /** Calls that wait for a slot; further ones are shed. */
  readonly queuedCalls: number;
  /** Objects that it keeps. */
  readonly keptObjects: number;
  /** Part of the work time that is left for an object that it keeps. */
  readonly warmPart: number;
}

/** Load that it reports with an answer. */
export interface ReplayReport {
  readonly running: number;
  readonly waiting: number;
}

/** How a call ended there. */
export type ReplayRun =
  | { readonly end: 'done'; readonly isWarm: boolean; readonly report: ReplayReport }
  | { readonly end: 'shed'; readonly report: ReplayReport };

/** A modelled backend server: slots, a queue, and a memory of the objects that it handled last. */
export class ReplayBackend {
  private readonly kept = new Set<string>();

  private queue: (() => void)[] = [];

  private running = 0;

  /** Factor on the time of its work. */
  slowFactor = 1;

  /**
   * @param time - virtual time
   * @param model - slots, queue and memory
   */
  constructor(
    private readonly time: VirtualTime,
    private readonly model: ReplayBackendModel,
  ) {}

  /**
   * Runs a call once a slot is free.
   *
   * @param objectKey - object of the call
   * @param workMs - time of the work where the object is not kept
   * @param done - told how it ended, unless it was broken off
   * @returns breaks the call off, where it is still there
   */
  run(objectKey: string, workMs: number, done: (run: ReplayRun) => void): () => void {
    let isOver = false;
    let hasStarted = false;
    const end = () => {
      isOver = true;
      this.running -= 1;
      this.queue.shift()?.();
    };
    const start = () => {
      hasStarted = true;
      this.running += 1;
      const isWarm = this.kept.has(objectKey);
      this.time.schedule(workMs * this.slowFactor * (isWarm ? this.model.warmPart : 1), () => {
        if (isOver) return;
        this.keep(objectKey);
        end();
        done({ end: 'done', isWarm, report: this.report() });
      });
    };
    if (this.running < this.model.slots) start();
    else if (this.queue.length < this.model.queuedCalls) this.queue.push(start);
    else done({ end: 'shed', report: this.report() });
    return () => {
      if (isOver) return;
      if (hasStarted) end();
      this.queue = this.queue.filter((waiting) => waiting !== start);
    };
  }

  private report(): ReplayReport {
    return { running: this.running, waiting: this.queue.length };
  }

  private keep(objectKey: string): void {
    this.kept.delete(objectKey);
    this.kept.add(objectKey);
    if (this.kept.size <= this.model.keptObjects) return;
    const [oldest] = this.kept;
    if (oldest !== undefined) this.kept.delete(oldest);
  }
}
