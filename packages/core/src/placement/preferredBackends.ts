import { hashText } from '../hash/textHash.js';
import { RendezvousOrder } from './rendezvousOrder.js';
import type { TrackedBackend } from './trackedBackend.js';
import { maxWarmObjects } from './warmObjects.js';

/** Finds the few backend servers that a call about an object may go to, so that each keeps its objects. */

/** Share of what a backend server keeps that is planned for it; the rest covers calls of other places. */
const plannedObjectShare = 0.75;
/** Backend servers of the nearest place that may handle an object. */
const preferredPerNearestGroup = 2;

/** The backend servers of one place. */
interface BackendGroup {
  readonly name: string;
  readonly distance: TrackedBackend['distance'];
  readonly order: RendezvousOrder<TrackedBackend>;
}

/** Order of a place; the former one where its backend servers are the same, since it knows objects. */
function orderOf(
  backends: readonly TrackedBackend[],
  previous: RendezvousOrder<TrackedBackend> | undefined,
): RendezvousOrder<TrackedBackend> {
  return previous?.covers(backends) === true ? previous : new RendezvousOrder(backends);
}

/** A home of an object. */
export interface PreferredBackend {
  readonly backend: TrackedBackend;
  /** Whether it is the first of the place that the object belongs to, which keeps it. */
  readonly isPrimary: boolean;
}

function groupBackendsBy(
  backends: readonly TrackedBackend[],
  nameOf: (backend: TrackedBackend) => string,
  previous: readonly BackendGroup[],
): BackendGroup[] {
  const byName = new Map<string, TrackedBackend[]>();
  for (const backend of backends) {
    const name = nameOf(backend);
    const members = byName.get(name);
    if (members === undefined) byName.set(name, [backend]);
    else members.push(backend);
  }
  const groups: BackendGroup[] = [];
  for (const [name, members] of byName) {
    const [first] = members;
    if (first === undefined) continue;
    const isNearest = members.some(({ distance }) => distance === 'zone');
    const distance = isNearest ? 'zone' : first.distance;
    const previousGroup = previous.find((group) => group.name === name);
    groups.push({ name, distance, order: orderOf(members, previousGroup?.order) });
  }
  return groups;
}

/** What is looked for in one place. */
interface GroupSelection {
  /** Homes in the place. */
  readonly count: number;
  /** Whether backend servers that handled the object lately count besides. */
  readonly includesWarm: boolean;
  /** Whether the object belongs to the place, so that its first home keeps it. */
  readonly hasPrimary: boolean;
}

function slotsOf(backends: readonly TrackedBackend[]): number {
  return backends.reduce((slots, { record }) => slots + record.slots, 0);
}

function selectFrom(
  order: RendezvousOrder<TrackedBackend>,
  key: string,
  { count, includesWarm, hasPrimary }: GroupSelection,
  isEligible: (backend: TrackedBackend) => boolean,
): PreferredBackend[] {
  const selected: PreferredBackend[] = [];
  for (const backend of order.orderFor(key)) {
    if (selected.length >= count && !includesWarm) break;
    if (selected.length >= count && !backend.warmObjects.has(key)) continue;
    if (isEligible(backend))
      selected.push({ backend, isPrimary: hasPrimary && selected.length === 0 });
  }
  return selected;
}

/** How the objects of the own region are spread. */
export interface ObjectSpread {
  /** Objects that calls were about lately. */
  readonly activeObjects: number;
  /** Share of them that stays in the region. */
  readonly regionShare: number;
}

const hashRange = 2 ** 32;

/**
 * Homes of objects: in the own region one set for each zone or, where a zone keeps too few objects,
 * one for the region; one more set in all other regions.
 */
export class PreferredBackends {
  private readonly zoneGroups: readonly BackendGroup[];

  private readonly regionGroups: readonly BackendGroup[];

  private readonly otherRegionsOrder: RendezvousOrder<TrackedBackend>;

  private readonly zoneObjectCapacity: number;

  /** Objects that the backend servers of the region keep. */
  readonly regionObjectCapacity: number;

  readonly regionSlots: number;

  readonly totalSlots: number;

  /**
   * @param backends - backend servers that may get calls
   * @param previous - homes before a change
   */
  constructor(
    private readonly backends: readonly TrackedBackend[],
    previous?: PreferredBackends,
  ) {
    const inRegion = backends.filter(({ distance }) => distance !== 'far');
    const inZone = inRegion.filter(({ distance }) => distance === 'zone');
    const byZone = previous?.zoneGroups ?? [];
    this.zoneGroups = groupBackendsBy(inRegion, ({ record }) => record.availabilityZone, byZone);
    this.regionGroups = groupBackendsBy(
      inRegion,
      ({ region }) => region,
      previous?.regionGroups ?? [],
    );
    const inOtherRegions = backends.filter(({ distance }) => distance === 'far');
    this.otherRegionsOrder = orderOf(inOtherRegions, previous?.otherRegionsOrder);
    this.zoneObjectCapacity = inZone.length * maxWarmObjects * plannedObjectShare;
    this.regionObjectCapacity = inRegion.length * maxWarmObjects * plannedObjectShare;
    this.regionSlots = slotsOf(inRegion);
    this.totalSlots = slotsOf(backends);
  }

  /**
   * Backend servers that may handle a call.
   *
   * @param key - object of the call; undefined where it is about none
   * @param spread - how objects are spread
   * @param isEligible - tells whether a backend server may get the call
   */
  select(
    key: string | undefined,
    spread: ObjectSpread,
    isEligible: (backend: TrackedBackend) => boolean,
  ): readonly PreferredBackend[] {
    if (key === undefined) {
      return this.backends.filter(isEligible).map((backend) => ({ backend, isPrimary: false }));
    }
    const belongsToRegion = hashText(`home ${key}`) < spread.regionShare * hashRange;
    const selected: PreferredBackend[] = [];
    for (const { distance, order } of this.groupsFor(spread)) {
      const count = distance === 'zone' ? preferredPerNearestGroup : 1;
      const includesWarm = distance === 'zone';
      selected.push(
        ...selectFrom(order, key, { count, includesWarm, hasPrimary: belongsToRegion }, isEligible),
      );
    }
    const elsewhere = {
      count: belongsToRegion ? 1 : preferredPerNearestGroup,
      includesWarm: false,
      hasPrimary: !belongsToRegion,
    };
    selected.push(...selectFrom(this.otherRegionsOrder, key, elsewhere, isEligible));
    return selected;
  }

  /** Whether the zones of the region share the homes of their objects. */
  isGroupedByRegion({ activeObjects, regionShare }: ObjectSpread): boolean {
    return activeObjects * regionShare > this.zoneObjectCapacity;
  }

  private groupsFor(spread: ObjectSpread): readonly BackendGroup[] {
    return this.isGroupedByRegion(spread) ? this.regionGroups : this.zoneGroups;
  }
}
