import type { Log } from '../log/log.js';
import { encodeInSlices } from './snapshotEncoder.js';
import { SnapshotPolicy } from './snapshotPolicy.js';

/** State of a machine after it applied the entry at `index`; must not change afterwards. */
export interface CapturedState {
  readonly index: number;
  readonly state: unknown;
}

/** Dependencies of the snapshot taker of a replica. */
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

  constructor(private readonly parts: SnapshotTakerParts) {}

  /** Records an applied entry, by the size of its command and the time that it took. */
  recordApplied(commandBytes: number, applyMs: number): void {
    this.policy.recordApplied(commandBytes, applyMs);
  }

  /** Records that the machine was restored from a snapshot of this size. */
  recordRestored(bytes: number): void {
    this.policy.recordCaptured();
    this.policy.recordSnapshotSize(bytes);
  }

  /** Takes a snapshot if one is due and none is being encoded. */
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

  /** Stops taking snapshots. */
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
