import { RendezvousOrder } from './rendezvousOrder.js';
import type { TrackedBackend } from './trackedBackend.js';
import { maxWarmObjects } from './warmObjects.js';

/** Selects the few backend servers that may handle an object, so that each keeps its objects warm. */

/**
 * Share of the objects a backend server keeps warm that is planned for; the rest is headroom for calls
 * from other zones and regions.
 */
const plannedObjectShare = 0.75;
/** Preferred backend servers of an object in its nearest group. */
const preferredPerNearestGroup = 2;

/** Objects that a number of backend servers can keep warm, without the headroom. */
export function objectCapacityOf(backendCount: number): number {
  return backendCount * maxWarmObjects * plannedObjectShare;
}

/** The backend servers of one zone or region. */
interface BackendGroup {
  readonly name: string;
  readonly distance: TrackedBackend['distance'];
  readonly order: RendezvousOrder<TrackedBackend>;
}

/** Order of a group; the previous one, with its cache, if the backend servers are the same. */
function orderOf(
  backends: readonly TrackedBackend[],
  previous: RendezvousOrder<TrackedBackend> | undefined,
): RendezvousOrder<TrackedBackend> {
  return previous?.covers(backends) === true ? previous : new RendezvousOrder(backends);
}

/** A backend server that may handle an object. */
export interface PreferredBackend {
  readonly backend: TrackedBackend;
  /** Whether it is the first choice of the group the object belongs to, which keeps the object warm. */
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

/** What to select from one group. */
interface GroupSelection {
  /** Number of preferred backend servers. */
  readonly count: number;
  /** Whether to add all other backend servers at which the object is warm. */
  readonly includesWarm: boolean;
  /** Whether the object belongs to the group, so that the first one selected is its primary. */
  readonly hasPrimary: boolean;
}

/** Slots of backend servers, by region. */
export function slotsByRegionOf(backends: readonly TrackedBackend[]): ReadonlyMap<string, number> {
  const slots = new Map<string, number>();
  for (const { region, record } of backends) {
    slots.set(region, (slots.get(region) ?? 0) + record.slots);
  }
  return slots;
}

function selectFrom(
  order: RendezvousOrder<TrackedBackend>,
  key: string,
  { count, includesWarm, hasPrimary }: GroupSelection,
  isEligible: (backend: TrackedBackend) => boolean,
): PreferredBackend[] {
  const chosen: PreferredBackend[] = [];
  for (const backend of order.orderFor(key)) {
    if (chosen.length >= count && !includesWarm) break;
    if (chosen.length >= count && !backend.warmObjects.has(key)) continue;
    if (isEligible(backend)) chosen.push({ backend, isPrimary: hasPrimary && chosen.length === 0 });
  }
  return chosen;
}

/** How the objects of this host's region are spread. */
export interface ObjectSpread {
  /** Distinct objects of recent calls. */
  readonly activeObjects: number;
  /** Share of the objects that the region handles itself, 0 to 1. */
  readonly regionShare: number;
  /** Whether the zones of a region share one set of backend servers for an object. */
  readonly isSharedByRegion: boolean;
  /** Whether the object of the call belongs to the region, which then keeps it warm. */
  readonly isPlannedHere: boolean;
}

/**
 * Preferred backend servers of objects: in this host's region a set for each zone or, if the zone
 * cannot keep its objects warm or a set for each is not worth it, one set for the region; besides,
 * one set for each other region.
 */
export class PreferredBackends {
  private readonly zoneGroups: readonly BackendGroup[];

  private readonly homeGroups: readonly BackendGroup[];

  private readonly otherGroups: readonly BackendGroup[];

  private readonly zoneObjectCapacity: number;

  /** Slots of the backend servers, by region. */
  readonly slotsByRegion: ReadonlyMap<string, number>;

  /**
   * @param backends - backend servers that may get calls
   * @param previous - state before a change, whose cached orders are reused
   */
  constructor(
    private readonly backends: readonly TrackedBackend[],
    previous?: PreferredBackends,
  ) {
    const inRegion = backends.filter(({ distance }) => distance !== 'far');
    const inZone = inRegion.filter(({ distance }) => distance === 'zone');
    const inOtherRegions = backends.filter(({ distance }) => distance === 'far');
    const zoneOf = ({ record }: TrackedBackend) => record.availabilityZone;
    const regionOf = ({ region }: TrackedBackend) => region;
    this.zoneGroups = groupBackendsBy(inRegion, zoneOf, previous?.zoneGroups ?? []);
    this.homeGroups = groupBackendsBy(inRegion, regionOf, previous?.homeGroups ?? []);
    this.otherGroups = groupBackendsBy(inOtherRegions, regionOf, previous?.otherGroups ?? []);
    this.zoneObjectCapacity = objectCapacityOf(inZone.length);
    this.slotsByRegion = slotsByRegionOf(backends);
  }

  /**
   * Selects the backend servers of a region that may handle a call.
   *
   * @param region - region of the backend servers
   * @param key - object of the call; undefined if it has none
   * @param spread - how objects are spread
   * @param isEligible - whether a backend server may get the call
   */
  selectIn(
    region: string,
    key: string | undefined,
    spread: ObjectSpread,
    isEligible: (backend: TrackedBackend) => boolean,
  ): readonly PreferredBackend[] {
    if (key === undefined) {
      return this.backends
        .filter((backend) => backend.region === region && isEligible(backend))
        .map((backend) => ({ backend, isPrimary: false }));
    }
    const { isPlannedHere: hasPrimary } = spread;
    const other = this.otherGroups.find(({ name }) => name === region);
    if (other !== undefined) {
      const count = hasPrimary ? preferredPerNearestGroup : 1;
      return selectFrom(other.order, key, { count, includesWarm: false, hasPrimary }, isEligible);
    }
    if (!this.homeGroups.some(({ name }) => name === region)) return [];
    const selected: PreferredBackend[] = [];
    for (const { distance, order } of this.groupsFor(spread)) {
      const count = distance === 'zone' ? preferredPerNearestGroup : 1;
      const includesWarm = distance === 'zone';
      selected.push(...selectFrom(order, key, { count, includesWarm, hasPrimary }, isEligible));
    }
    return selected;
  }

  /** Whether objects are spread over the whole region instead of each zone. */
  isGroupedByRegion({ activeObjects, regionShare, isSharedByRegion }: ObjectSpread): boolean {
    return isSharedByRegion || activeObjects * regionShare > this.zoneObjectCapacity;
  }

  private groupsFor(spread: ObjectSpread): readonly BackendGroup[] {
    return this.isGroupedByRegion(spread) ? this.homeGroups : this.zoneGroups;
  }
}
