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
  /** Other work on its machine; none where absent. */
  readonly otherWork?: OtherWork;
}

/** Spells in which other work on the machine of a backend server slows down its calls. */
export interface OtherWork {
  /** Part of the time that the spells take. */
  readonly share: number;
  readonly spellMs: number;
  /** Factor on the time of calls that start in a spell. */
  readonly factor: number;
  /** Whether the backend server reports the factor with its answers. */
  readonly isReported: boolean;
}

/** Load that it reports with an answer. */
export interface ReplayReport {
  readonly running: number;
  readonly waiting: number;
  readonly workTimeFactor?: number;
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

  private otherWorkFactor = 1;

  /**
   * @param time - virtual time
   * @param model - slots, queue and memory
   * @param draw - random numbers in [0, 1), for the spells of other work
   */
  constructor(
    private readonly time: VirtualTime,
    private readonly model: ReplayBackendModel,
    private readonly draw: () => number,
  ) {
    if (model.otherWork !== undefined) this.scheduleOtherWork(model.otherWork);
  }

  private scheduleOtherWork(otherWork: OtherWork): void {
    const { share, spellMs, factor } = otherWork;
    const pauseMs = spellMs * (1 / share - 1);
    this.time.schedule(2 * pauseMs * this.draw(), () => {
      this.otherWorkFactor = factor;
      this.time.schedule(2 * spellMs * this.draw(), () => {
        this.otherWorkFactor = 1;
        this.scheduleOtherWork(otherWork);
      });
    });
  }

  /** Whether it takes a call, now or once a slot is free. */
  hasRoom(): boolean {
    return this.running < this.model.slots || this.queue.length < this.model.queuedCalls;
  }

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
      const factor = this.slowFactor * this.otherWorkFactor * (isWarm ? this.model.warmPart : 1);
      this.time.schedule(workMs * factor, () => {
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
    const load = { running: this.running, waiting: this.queue.length };
    const isReported = this.model.otherWork?.isReported === true;
    return isReported ? { ...load, workTimeFactor: this.otherWorkFactor } : load;
  }

  private keep(objectKey: string): void {
    this.kept.delete(objectKey);
    this.kept.add(objectKey);
    if (this.kept.size <= this.model.keptObjects) return;
    const [oldest] = this.kept;
    if (oldest !== undefined) this.kept.delete(oldest);
  }
}
