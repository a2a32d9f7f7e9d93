/** A probe that is not acknowledged yet. */
export interface PendingProbe {
  readonly target: string;
  readonly sequence: number;
  readonly sentAtMs: number;
  hasRequestedIndirectProbes: boolean;
  /** Host that requested the probe, with the sequence it expects in the acknowledgement. */
  readonly onBehalfOf?: { readonly hostId: string; readonly sequence: number };
}

/** Probes in flight. */
export class PendingProbes {
  private readonly pending = new Map<number, PendingProbe>();

  private lastSequence = 0;

  open(target: string, nowMs: number, onBehalfOf?: PendingProbe['onBehalfOf']): PendingProbe {
    this.lastSequence += 1;
    const probe: PendingProbe = {
      target,
      sequence: this.lastSequence,
      sentAtMs: nowMs,
      hasRequestedIndirectProbes: false,
      ...(onBehalfOf === undefined ? {} : { onBehalfOf }),
    };
    this.pending.set(probe.sequence, probe);
    return probe;
  }

  close(sequence: number): PendingProbe | undefined {
    const probe = this.pending.get(sequence);
    this.pending.delete(sequence);
    return probe;
  }

  /** Whether a probe of a host is pending that was not requested by another host. */
  isProbing(target: string): boolean {
    for (const probe of this.pending.values()) {
      if (probe.target === target && probe.onBehalfOf === undefined) return true;
    }
    return false;
  }

  all(): PendingProbe[] {
    return [...this.pending.values()];
  }

  clear(): void {
    this.pending.clear();
  }
}
