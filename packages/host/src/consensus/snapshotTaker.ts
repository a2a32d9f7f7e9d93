import type { Log } from '../log/log.js';
import { encodeInSlices } from './snapshotEncoder.js';
import { SnapshotPolicy } from './snapshotPolicy.js';

/** State of a machine after the entry of an index was applied; it must not change afterwards. */
export interface CapturedState {
  readonly index: number;
  readonly state: unknown;
}

/** What the snapshots of a replica are given. */
export interface SnapshotTakerParts {
  readonly capture: () => CapturedState;
  /** Replaces the log up to an index by the encoded state. */
  readonly save: (index: number, data: Uint8Array) => void;
  readonly log: Pick<Log, 'error'>;
}

/** Takes the snapshots of one replica, one after the other. */
export class SnapshotTaker {
  private readonly policy = new SnapshotPolicy();

  private isEncoding = false;

  private isClosed = false;

  /**
   * @param parts - machine, log and where snapshots go
   */
  constructor(private readonly parts: SnapshotTakerParts) {}

  /** Takes note of an applied entry, the size of its command and the time that it took. */
  recordApplied(commandBytes: number, applyMs: number): void {
    this.policy.recordApplied(commandBytes, applyMs);
  }

  /** Takes note that the machine was restored from a snapshot of a size. */
  recordRestored(bytes: number): void {
    this.policy.recordCaptured();
    this.policy.recordSnapshotSize(bytes);
  }

  /** Takes a snapshot where one is due and none is being encoded. */
  takeIfDue(): void {
    if (this.isEncoding || this.isClosed || !this.policy.isDue()) return;
    this.isEncoding = true;
    this.policy.recordCaptured();
    this.encode().then(
      () => {
        this.isEncoding = false;
        this.takeIfDue();
      },
      (error: unknown) => {
        this.isEncoding = false;
        this.parts.log.error('snapshotFailed', { problem: String(error) });
      },
    );
  }

  /** Takes no snapshot any more. */
  close(): void {
    this.isClosed = true;
  }

  private async encode(): Promise<void> {
    const { index, state } = this.parts.capture();
    const data = await encodeInSlices(state);
    this.policy.recordSnapshotSize(data.byteLength);
    this.parts.save(index, data);
  }
}
