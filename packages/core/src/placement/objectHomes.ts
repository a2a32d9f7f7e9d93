import { ObjectOrder } from './objectOrder.js';
import type { PlacedBackend } from './placedBackend.js';
import { maxObjects } from './recentObjects.js';

/** Finds the few backend servers that a call about an object may go to, so that each keeps its objects. */

/** Share of what a backend server keeps that is planned for it; the rest covers calls of other places. */
const plannedShare = 0.85;
/** Backend servers of the nearest place that may handle an object. */
const nearestHomes = 2;

/** The backend servers of one place. */
interface Place {
  readonly distance: PlacedBackend['distance'];
  readonly order: ObjectOrder<PlacedBackend>;
}

/** A home of an object. */
export interface ObjectHome {
  readonly backend: PlacedBackend;
  /** Whether it is the first of its place, which all hosts send the object to. */
  readonly isFirst: boolean;
}

function placesBy(
  backends: readonly PlacedBackend[],
  nameOf: (backend: PlacedBackend) => string,
): Place[] {
  const byName = new Map<string, PlacedBackend[]>();
  for (const backend of backends) {
    const name = nameOf(backend);
    const ofPlace = byName.get(name);
    if (ofPlace === undefined) byName.set(name, [backend]);
    else ofPlace.push(backend);
  }
  const places: Place[] = [];
  for (const ofPlace of byName.values()) {
    const [first] = ofPlace;
    if (first === undefined) continue;
    const isNear = ofPlace.some(({ distance }) => distance === 'zone');
    const distance = isNear ? 'zone' : first.distance;
    places.push({ distance, order: new ObjectOrder(ofPlace) });
  }
  return places;
}

/** Homes of objects: one set for each zone or, where a zone keeps too few objects, for each region. */
export class ObjectHomes {
  private readonly byZone: readonly Place[];

  private readonly byRegion: readonly Place[];

  private readonly zoneBackends: number;

  /**
   * @param backends - backend servers that may get calls
   */
  constructor(private readonly backends: readonly PlacedBackend[]) {
    this.byZone = placesBy(backends, ({ record }) => record.availabilityZone);
    this.byRegion = placesBy(backends, ({ region }) => region);
    this.zoneBackends = backends.filter(({ distance }) => distance === 'zone').length;
  }

  /**
   * Backend servers that may handle a call.
   *
   * @param key - object of the call; undefined where it is about none
   * @param objectCount - objects that calls were about lately
   * @param isOpen - tells whether a backend server may get the call
   */
  of(
    key: string | undefined,
    objectCount: number,
    isOpen: (backend: PlacedBackend) => boolean,
  ): readonly ObjectHome[] {
    if (key === undefined) {
      return this.backends.filter(isOpen).map((backend) => ({ backend, isFirst: false }));
    }
    const homes: ObjectHome[] = [];
    for (const { distance, order } of this.placesFor(objectCount)) {
      const wanted = distance === 'zone' ? nearestHomes : 1;
      let found = 0;
      for (const backend of order.of(key)) {
        const isHome = found < wanted;
        if (!isHome && (distance !== 'zone' || !backend.objects.has(key))) continue;
        if (!isOpen(backend)) continue;
        homes.push({ backend, isFirst: found === 0 });
        found += 1;
      }
    }
    return homes;
  }

  private placesFor(objectCount: number): readonly Place[] {
    const kept = this.zoneBackends * maxObjects * plannedShare;
    return objectCount <= kept ? this.byZone : this.byRegion;
  }
}
