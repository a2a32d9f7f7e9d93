import { ColdCallPacer } from './coldBackendPacing.js';

/** Paces the calls of this host to all cold backend servers of a service. */
export class ColdCalls {
  private readonly pacers = new Map<string, ColdCallPacer>();

  /** Forgets all other backend servers. */
  retain(backendIds: ReadonlySet<string>): void {
    for (const backendId of this.pacers.keys()) {
      if (!backendIds.has(backendId)) this.pacers.delete(backendId);
    }
  }

  maySend(backendId: string, nowMs: number): boolean {
    return this.pacers.get(backendId)?.maySend(nowMs) ?? true;
  }

  recordSend(backendId: string, callsPerS: number, nowMs: number): void {
    const pacer = this.pacers.get(backendId) ?? new ColdCallPacer();
    this.pacers.set(backendId, pacer);
    pacer.recordSend(callsPerS, nowMs);
  }
}
