import type { Failure } from '@buckthornlug/protocol/results/failure.js';

/** Factor by which a refusal shrinks the window. */
const decreaseFactor = 0.7;
/** Smallest window: one call stays in flight, to detect that the pool has free slots again. */
const minWindowCalls = 1;
/** Shortest time between decreases, as a share of the target: a burst of refusals counts once. */
const decreaseIntervalShare = 0.2;
/** Time after the last refusal at which the limit is lifted. */
const refusalValidMs = 2000;

/** The fields of a call that a window depends on. */
export interface OwnerCall {
  readonly service: string;
  readonly kind: string;
  readonly arrivedAtMs: number;
  readonly targetAtMs: number;
}

/** Latest refusal by the owner of the pool. */
interface LastRefusal {
  readonly ownerHostId: string;
  readonly failure: Failure;
  readonly atMs: number;
}

interface KindWindow {
  callsInFlight: number;
  windowCalls: number;
  decreasedAtMs: number;
  lastRefusal?: LastRefusal;
}

function keyOf({ service, kind }: OwnerCall): string {
  return `${service} ${kind}`;
}

/** Latest refusal by this owner, while it limits the calls. */
function activeRefusal(
  { lastRefusal: refusal }: KindWindow,
  ownerHostId: string,
  nowMs: number,
): LastRefusal | undefined {
  if (refusal === undefined || refusal.ownerHostId !== ownerHostId) return undefined;
  return nowMs - refusal.atMs < refusalValidMs ? refusal : undefined;
}

/**
 * Adaptive limit on the calls of each kind in flight from this host to the owner of a pool of its
 * availability zone (additive increase, multiplicative decrease). A call that the owner would
 * refuse is refused here, before it costs a ledger commit. Refusals shrink the window, each full
 * window of answers grows it by one call, and it is lifted once the owner stops refusing.
 */
export class OwnerWindow {
  private readonly byKind = new Map<string, KindWindow>();

  /**
   * Admits a call that is about to be sent to the owner, and counts it as in flight.
   *
   * @param ownerHostId - owner of the pool
   * @returns the owner's latest refusal, which it would likely repeat; undefined if admitted
   */
  admit(call: OwnerCall, ownerHostId: string, nowMs: number): Failure | undefined {
    const window = this.windowOf(call);
    const refusal = activeRefusal(window, ownerHostId, nowMs);
    if (refusal !== undefined && window.callsInFlight >= window.windowCalls) return refusal.failure;
    window.callsInFlight += 1;
    return undefined;
  }

  /** Removes an admitted call that has ended from the calls in flight. */
  release(call: OwnerCall): void {
    this.windowOf(call).callsInFlight -= 1;
  }

  /**
   * Records that the owner refused a call because no slot would be free in time.
   *
   * @param ownerHostId - owner of the pool
   * @param failure - the owner's refusal
   */
  recordRefusal(call: OwnerCall, ownerHostId: string, failure: Failure, nowMs: number): void {
    const window = this.windowOf(call);
    const isFirst = activeRefusal(window, ownerHostId, nowMs) === undefined;
    window.lastRefusal = { ownerHostId, failure, atMs: nowMs };
    const minIntervalMs = decreaseIntervalShare * (call.targetAtMs - call.arrivedAtMs);
    if (!isFirst && nowMs - window.decreasedAtMs < minIntervalMs) return;
    const calls = isFirst
      ? window.callsInFlight
      : Math.min(window.windowCalls, window.callsInFlight);
    window.windowCalls = Math.max(minWindowCalls, Math.floor(calls * decreaseFactor));
    window.decreasedAtMs = nowMs;
  }

  /** Records a call that was answered through the owner. */
  recordAnswer(call: OwnerCall): void {
    const window = this.windowOf(call);
    window.windowCalls += 1 / Math.max(minWindowCalls, window.windowCalls);
  }

  private windowOf(call: OwnerCall): KindWindow {
    const key = keyOf(call);
    const known = this.byKind.get(key);
    if (known !== undefined) return known;
    const created: KindWindow = { callsInFlight: 0, windowCalls: 0, decreasedAtMs: 0 };
    this.byKind.set(key, created);
    return created;
  }
}
