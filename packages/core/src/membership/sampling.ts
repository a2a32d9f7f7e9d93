/**
 * Draws some elements at random, each at most once.
 *
 * @param random - source of random numbers in [0, 1)
 */
export function sample<Element>(
  elements: readonly Element[],
  count: number,
  random: () => number,
): Element[] {
  const remaining = [...elements];
  const drawn: Element[] = [];
  while (drawn.length < count && remaining.length > 0) {
    const index = Math.floor(random() * remaining.length);
    const [element] = remaining.splice(index, 1);
    if (element !== undefined) drawn.push(element);
  }
  return drawn;
}

/**
 * Takes the elements that follow a position on a ring.
 *
 * @param ring - elements in order of their positions
 * @param position - position to start after
 */
export function successors<Element>(
  ring: readonly Element[],
  positionOf: (element: Element) => number,
  position: number,
  count: number,
): Element[] {
  const firstAfter = ring.findIndex((element) => positionOf(element) > position);
  const first = firstAfter < 0 ? 0 : firstAfter;
  const taken: Element[] = [];
  for (let offset = 0; offset < Math.min(count, ring.length); offset += 1) {
    const element = ring[(first + offset) % ring.length];
    if (element !== undefined) taken.push(element);
  }
  return taken;
}
