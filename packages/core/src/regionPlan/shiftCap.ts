/**
 * Parts of the shift cap: the largest share of a region's calls that may change the region in which they
 * run, from one window to the next. The rest is for chance, and for calls that are turned away in one
 * region more than in another.
 */

/** Window to which the cap applies. */
const capWindowMs = 2000;
/** Part that the plan of the leader uses for its steps. */
const planPart = 0.25;
/**
 * Part within which a host follows the plan. It is larger, so that a host that got a step late reaches
 * the plan before the next steps.
 */
const followPart = 0.3;
/**
 * Part for calls that do not run where the plan has them. It limits their number rather than its change:
 * limits of numbers add up over hosts, whichever host a caller uses.
 */
const spillPart = 0.2;
/** Part by which the mix of the calls that run may differ from the plan since one region refuses more than others. */
const unevenPart = 0.1;

/** Largest share of the calls that the plan moves in a millisecond. */
export function planSpeedPerMs(maxShift: number): number {
  return (maxShift * planPart) / capWindowMs;
}

/** Largest share of the calls that a host moves in a millisecond. */
export function followSpeedPerMs(maxShift: number): number {
  return (maxShift * followPart) / capWindowMs;
}

/** Largest share of the calls that may run elsewhere than planned. */
export function spillShare(maxShift: number): number {
  return maxShift * spillPart;
}

/**
 * Part of the accepted calls of a region by which its refusals may exceed those of the other regions.
 *
 * @param share - share of the calls that is planned for the region; a small one changes the mix by less
 */
export function unevenRefusalPart(maxShift: number, share: number): number {
  return (maxShift * unevenPart) / (share * (1 - share));
}
