import { hashText } from '../hash/textHash.js';
import { ObjectOrder } from './rendezvousOrder.js';
import type { PlacedBackend } from './trackedBackend.js';
import { maxObjects } from './warmObjects.js';

/** Finds the few backend servers that a call about an object may go to, so that each keeps its objects. */

/** Share of what a backend server keeps that is planned for it; the rest covers calls of other places. */
const plannedShare = 0.75;
/** Backend servers of the nearest place that may handle an object. */
const nearestHomes = 2;

/** The backend servers of one place. */
interface Place {
  readonly name: string;
  readonly distance: PlacedBackend['distance'];
  readonly order: ObjectOrder<PlacedBackend>;
}

/** Order of a place; the former one where its backend servers are the same, since it knows objects. */
function orderOf(
  backends: readonly PlacedBackend[],
  former: ObjectOrder<PlacedBackend> | undefined,
): ObjectOrder<PlacedBackend> {
  return former?.isOf(backends) === true ? former : new ObjectOrder(backends);
}

/** A home of an object. */
export interface ObjectHome {
  readonly backend: PlacedBackend;
  /** Whether it is the first of the place that the object belongs to, which keeps it. */
  readonly isFirst: boolean;
}

function placesBy(
  backends: readonly PlacedBackend[],
  nameOf: (backend: PlacedBackend) => string,
  former: readonly Place[],
): Place[] {
  const byName = new Map<string, PlacedBackend[]>();
  for (const backend of backends) {
    const name = nameOf(backend);
    const ofPlace = byName.get(name);
    if (ofPlace === undefined) byName.set(name, [backend]);
    else ofPlace.push(backend);
  }
  const places: Place[] = [];
  for (const [name, ofPlace] of byName) {
    const [first] = ofPlace;
    if (first === undefined) continue;
    const isNear = ofPlace.some(({ distance }) => distance === 'zone');
    const distance = isNear ? 'zone' : first.distance;
    const before = former.find((place) => place.name === name);
    places.push({ name, distance, order: orderOf(ofPlace, before?.order) });
  }
  return places;
}

/** What is looked for in one place. */
interface HomeSearch {
  /** Homes in the place. */
  readonly wanted: number;
  /** Whether backend servers that handled the object lately count besides. */
  readonly keepsTrack: boolean;
  /** Whether the object belongs to the place, so that its first home keeps it. */
  readonly isNear: boolean;
}

function slotsOf(backends: readonly PlacedBackend[]): number {
  return backends.reduce((slots, { record }) => slots + record.slots, 0);
}

function homesIn(
  order: ObjectOrder<PlacedBackend>,
  key: string,
  { wanted, keepsTrack, isNear }: HomeSearch,
  isOpen: (backend: PlacedBackend) => boolean,
): ObjectHome[] {
  const homes: ObjectHome[] = [];
  for (const backend of order.of(key)) {
    if (homes.length >= wanted && !keepsTrack) break;
    if (homes.length >= wanted && !backend.objects.has(key)) continue;
    if (isOpen(backend)) homes.push({ backend, isFirst: isNear && homes.length === 0 });
  }
  return homes;
}

/** How the objects of the own region are spread. */
export interface HomePlan {
  /** Objects that calls were about lately. */
  readonly seenObjects: number;
  /** Share of them that stays in the region. */
  readonly nearShare: number;
}

const hashRange = 2 ** 32;

/**
 * Homes of objects: in the own region one set for each zone or, where a zone keeps too few objects,
 * one for the region; one more set in all other regions.
 */
export class ObjectHomes {
  private readonly nearByZone: readonly Place[];

  private readonly nearByRegion: readonly Place[];

  private readonly farOrder: ObjectOrder<PlacedBackend>;

  private readonly zoneObjects: number;

  /** Objects that the backend servers of the region keep. */
  readonly nearObjects: number;

  readonly nearSlots: number;

  readonly allSlots: number;

  /**
   * @param backends - backend servers that may get calls
   * @param former - homes before a change
   */
  constructor(
    private readonly backends: readonly PlacedBackend[],
    former?: ObjectHomes,
  ) {
    const near = backends.filter(({ distance }) => distance !== 'far');
    const inZone = near.filter(({ distance }) => distance === 'zone');
    const byZone = former?.nearByZone ?? [];
    this.nearByZone = placesBy(near, ({ record }) => record.availabilityZone, byZone);
    this.nearByRegion = placesBy(near, ({ region }) => region, former?.nearByRegion ?? []);
    const far = backends.filter(({ distance }) => distance === 'far');
    this.farOrder = orderOf(far, former?.farOrder);
    this.zoneObjects = inZone.length * maxObjects * plannedShare;
    this.nearObjects = near.length * maxObjects * plannedShare;
    this.nearSlots = slotsOf(near);
    this.allSlots = slotsOf(backends);
  }

  /**
   * Backend servers that may handle a call.
   *
   * @param key - object of the call; undefined where it is about none
   * @param plan - how objects are spread
   * @param isOpen - tells whether a backend server may get the call
   */
  of(
    key: string | undefined,
    plan: HomePlan,
    isOpen: (backend: PlacedBackend) => boolean,
  ): readonly ObjectHome[] {
    if (key === undefined) {
      return this.backends.filter(isOpen).map((backend) => ({ backend, isFirst: false }));
    }
    const isNear = hashText(`home ${key}`) < plan.nearShare * hashRange;
    const homes: ObjectHome[] = [];
    for (const { distance, order } of this.placesFor(plan)) {
      const wanted = distance === 'zone' ? nearestHomes : 1;
      const keepsTrack = distance === 'zone';
      homes.push(...homesIn(order, key, { wanted, keepsTrack, isNear }, isOpen));
    }
    const far = { wanted: isNear ? 1 : nearestHomes, keepsTrack: false, isNear: !isNear };
    homes.push(...homesIn(this.farOrder, key, far, isOpen));
    return homes;
  }

  /** Whether the zones of the region share the homes of their objects. */
  isSpreadByRegion({ seenObjects, nearShare }: HomePlan): boolean {
    return seenObjects * nearShare > this.zoneObjects;
  }

  private placesFor(plan: HomePlan): readonly Place[] {
    return this.isSpreadByRegion(plan) ? this.nearByRegion : this.nearByZone;
  }
}
