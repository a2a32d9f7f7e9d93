import type {
  Route,
  RoutingChanges,
  RoutingInForce,
} from '@buckthornlug/protocol/routing/routingSchema.js';

import { samePlainData } from '../lists/samePlainData.js';

/**
 * What changed between versions of the routing document. A host that holds one of the last versions is
 * told the changed routes only: a document of thousands of routes is longer than a slow link carries, and
 * takes more processor time than an entry host has, within the time in which a change has to be in force.
 */

/** Versions of which the changes are known. */
const maxSteps = 64;
/** Changed routes of all these versions together. */
const maxChangedRoutes = 8192;

/** Changes of one version. */
interface Step {
  readonly baseVersion: number;
  readonly changedRouteIds: ReadonlySet<string>;
}

/**
 * Routes by ID; undefined if their order matters, as two have the same ID or match the same calls.
 */
function indexRoutes(routes: readonly Route[]): ReadonlyMap<string, Route> | undefined {
  const byId = new Map<string, Route>();
  const matches = new Set<string>();
  for (const route of routes) {
    byId.set(route.routeId, route);
    matches.add(`${route.hostName.toLowerCase()} ${route.pathPrefix}`);
  }
  const isOrdered = byId.size < routes.length || matches.size < routes.length;
  return isOrdered ? undefined : byId;
}

function findChangedRouteIds(
  former: ReadonlyMap<string, Route>,
  routes: ReadonlyMap<string, Route>,
): Set<string> {
  const changed = new Set<string>();
  for (const [routeId, route] of routes) {
    if (!samePlainData(former.get(routeId), route)) changed.add(routeId);
  }
  for (const routeId of former.keys()) if (!routes.has(routeId)) changed.add(routeId);
  return changed;
}

/** Remembers which routes the last versions of the document changed. */
export class RoutingHistory {
  private steps: Step[] = [];

  private routes: ReadonlyMap<string, Route> | undefined;

  private version = -1;

  /** Forgets everything; a document that comes without its former versions begins anew. */
  begin(document: RoutingInForce | undefined): void {
    this.steps = [];
    this.routes = document === undefined ? undefined : indexRoutes(document.routes);
    this.version = document?.version ?? -1;
  }

  /** Records a document that replaces the one in force. */
  record(document: RoutingInForce): void {
    const { routes: former, version: baseVersion } = this;
    const routes = indexRoutes(document.routes);
    if (former === undefined || routes === undefined) {
      this.begin(document);
      return;
    }
    this.steps.push({ baseVersion, changedRouteIds: findChangedRouteIds(former, routes) });
    this.routes = routes;
    this.version = document.version;
    while (this.steps.length > maxSteps || this.countChangedRoutes() > maxChangedRoutes) {
      this.steps.shift();
    }
  }

  /**
   * Changes since a version.
   *
   * @param document - document in force
   * @returns undefined if the version is not known, or if most routes have changed
   */
  changesSince(baseVersion: number, document: RoutingInForce): RoutingChanges | undefined {
    const { routes } = this;
    const first = this.steps.findIndex((one) => one.baseVersion === baseVersion);
    if (first < 0 || routes === undefined || document.version !== this.version) return undefined;
    const changedRouteIds = new Set<string>();
    for (const step of this.steps.slice(first)) {
      for (const routeId of step.changedRouteIds) changedRouteIds.add(routeId);
    }
    if (2 * changedRouteIds.size > document.routes.length) return undefined;
    const changed: Route[] = [];
    const removedRouteIds: string[] = [];
    for (const routeId of changedRouteIds) {
      const route = routes.get(routeId);
      if (route === undefined) removedRouteIds.push(routeId);
      else changed.push(route);
    }
    const { version, services, limits } = document;
    return { baseVersion, version, routes: changed, removedRouteIds, services, limits };
  }

  private countChangedRoutes(): number {
    return this.steps.reduce((sum, { changedRouteIds }) => sum + changedRouteIds.size, 0);
  }
}

/** Applies changes to the document of their base version, or of one between that and theirs. */
export function applyRoutingChanges(
  document: RoutingInForce,
  { version, routes, removedRouteIds, services, limits }: RoutingChanges,
): RoutingInForce {
  const byId = new Map(document.routes.map((route) => [route.routeId, route]));
  for (const routeId of removedRouteIds) byId.delete(routeId);
  for (const route of routes) byId.set(route.routeId, route);
  return { version, routes: [...byId.values()], services, limits };
}
