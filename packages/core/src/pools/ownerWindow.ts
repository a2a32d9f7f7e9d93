import type { Failure } from '@buckthornlug/protocol/results/failure.js';

/** Part of the window that is left after a refusal. */
const decreaseFactor = 0.7;
/** Least calls that may be under way, so that a pool with room is found. */
const minWindowCalls = 1;
/** Least time between two reductions, as a part of the target: refusals of one moment count once. */
const decreaseIntervalShare = 0.2;
/** Time after the last refusal from which on calls are not limited. */
const refusalValidMs = 2000;

/** What a window is kept for. */
export interface OwnerCall {
  readonly service: string;
  readonly kind: string;
  readonly arrivedAtMs: number;
  readonly targetAtMs: number;
}

/** What the owner of the pool has last refused. */
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

/** Refusal of an owner that still limits the calls. */
function activeRefusal(
  { lastRefusal: refusal }: KindWindow,
  ownerHostId: string,
  nowMs: number,
): LastRefusal | undefined {
  if (refusal === undefined || refusal.ownerHostId !== ownerHostId) return undefined;
  return nowMs - refusal.atMs < refusalValidMs ? refusal : undefined;
}

/**
 * Limits the calls of each kind that are under way from this host to the owner of a pool of its
 * availability zone, by what the owner refused: a call that the owner would refuse is refused here
 * before it costs a commit. The window shrinks with refusals, grows by one call with as many answers as
 * it is wide, and is lifted where the owner refuses nothing any more.
 */
export class OwnerWindow {
  private readonly byKind = new Map<string, KindWindow>();

  /**
   * Counts a call that is about to go to the owner.
   *
   * @param call - the call
   * @param ownerHostId - owner of the pool
   * @param nowMs - current time
   * @returns the refusal that the owner would most likely repeat; undefined where the call may go
   */
  admit(call: OwnerCall, ownerHostId: string, nowMs: number): Failure | undefined {
    const window = this.windowOf(call);
    const refusal = activeRefusal(window, ownerHostId, nowMs);
    if (refusal !== undefined && window.callsInFlight >= window.windowCalls) return refusal.failure;
    window.callsInFlight += 1;
    return undefined;
  }

  /** Ends a call that was counted. */
  release(call: OwnerCall): void {
    this.windowOf(call).callsInFlight -= 1;
  }

  /**
   * Notes that the owner refused a call for want of slots in time.
   *
   * @param call - call that was refused
   * @param ownerHostId - owner of the pool
   * @param failure - refusal as the owner stated it
   * @param nowMs - current time
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

  /** Notes that a call was answered through the owner. */
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
