/** Which calls a stopping host still takes, so that it ends all that it has taken. */

/** Course of a planned stop; monotonic times. */
export interface StopPlan {
  /** From here on callers know that the host is stopping; until then look-ups name it. */
  readonly callersKnowAtMs: number;
  /** From here on the host ends the calls that are still in flight. */
  readonly endsAtMs: number;
}

/** A call that is about to be accepted or dispatched. */
export interface StoppableCall {
  /** Whether the caller may send the call again after an answer of unknown outcome. */
  readonly mayRepeat: boolean;
  readonly deadlineAtMs: number;
}

/**
 * Whether the host takes a call. Only the time limit of a call bounds its work, so a call whose limit lies
 * beyond the end of the host could be cut. That is taken into account for work that may be repeated, while
 * callers cannot know better; otherwise another host takes the call.
 *
 * @param plan - planned stop in progress, if any
 * @param nowMs - monotonic time
 */
export function mayTakeCall(
  plan: StopPlan | undefined,
  { mayRepeat, deadlineAtMs }: StoppableCall,
  nowMs: number,
): boolean {
  if (plan === undefined || deadlineAtMs <= plan.endsAtMs) return true;
  return mayRepeat && nowMs < plan.callersKnowAtMs;
}
