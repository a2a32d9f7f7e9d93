import type { Failure } from '@buckthornlug/protocol/results/failure.js';

/** Part of the window that is left after a refusal. */
const keptShare = 0.7;
/** Least calls that may be under way, so that a pool with room is found. */
const leastCalls = 1;
/** Least time between two reductions, as a part of the target: refusals of one moment count once. */
const reductionShare = 0.2;
/** Time after the last refusal from which on calls are not limited. */
const forgetAfterMs = 2000;

/** What a window is kept for. */
export interface OwnerWork {
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

interface KindState {
  callsUnderWay: number;
  windowCalls: number;
  reducedAtMs: number;
  refusal?: LastRefusal;
}

function keyOf({ service, kind }: OwnerWork): string {
  return `${service} ${kind}`;
}

/** Refusal of an owner that still limits the calls. */
function refusalInForce(
  { refusal }: KindState,
  ownerHostId: string,
  nowMs: number,
): LastRefusal | undefined {
  if (refusal === undefined || refusal.ownerHostId !== ownerHostId) return undefined;
  return nowMs - refusal.atMs < forgetAfterMs ? refusal : undefined;
}

/**
 * Limits the calls of each kind that are under way from this host to the owner of a pool of its
 * availability zone, by what the owner refused: a call that the owner would refuse is refused here
 * before it costs a commit. The window shrinks with refusals, grows by one call with as many answers as
 * it is wide, and is lifted where the owner refuses nothing any more.
 */
export class OwnerWindow {
  private readonly byKind = new Map<string, KindState>();

  /**
   * Counts a call that is about to go to the owner.
   *
   * @param work - the call
   * @param ownerHostId - owner of the pool
   * @param nowMs - current time
   * @returns the refusal that the owner would most likely repeat; undefined where the call may go
   */
  enter(work: OwnerWork, ownerHostId: string, nowMs: number): Failure | undefined {
    const state = this.stateOf(work);
    const refusal = refusalInForce(state, ownerHostId, nowMs);
    if (refusal !== undefined && state.callsUnderWay >= state.windowCalls) return refusal.failure;
    state.callsUnderWay += 1;
    return undefined;
  }

  /** Ends a call that was counted. */
  exit(work: OwnerWork): void {
    this.stateOf(work).callsUnderWay -= 1;
  }

  /**
   * Notes that the owner refused a call for want of slots in time.
   *
   * @param work - call that was refused
   * @param ownerHostId - owner of the pool
   * @param failure - refusal as the owner stated it
   * @param nowMs - current time
   */
  noteRefused(work: OwnerWork, ownerHostId: string, failure: Failure, nowMs: number): void {
    const state = this.stateOf(work);
    const isFirst = refusalInForce(state, ownerHostId, nowMs) === undefined;
    state.refusal = { ownerHostId, failure, atMs: nowMs };
    const settleMs = reductionShare * (work.targetAtMs - work.arrivedAtMs);
    if (!isFirst && nowMs - state.reducedAtMs < settleMs) return;
    const calls = isFirst ? state.callsUnderWay : Math.min(state.windowCalls, state.callsUnderWay);
    state.windowCalls = Math.max(leastCalls, Math.floor(calls * keptShare));
    state.reducedAtMs = nowMs;
  }

  /** Notes that a call was answered through the owner. */
  noteAnswered(work: OwnerWork): void {
    const state = this.stateOf(work);
    state.windowCalls += 1 / Math.max(leastCalls, state.windowCalls);
  }

  private stateOf(work: OwnerWork): KindState {
    const key = keyOf(work);
    const known = this.byKind.get(key);
    if (known !== undefined) return known;
    const state: KindState = { callsUnderWay: 0, windowCalls: 0, reducedAtMs: 0 };
    this.byKind.set(key, state);
    return state;
  }
}
