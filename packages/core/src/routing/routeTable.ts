import { maxTimerMs } from '@buckthornlug/protocol/common/primitives.js';
import type { Route, RoutingInForce } from '@buckthornlug/protocol/routing/routingSchema.js';

/** A routing document, compiled for lookups. */
export interface RouteTable {
  readonly version: number;
  /** Routes of a host name, the longest path prefix first. */
  readonly routesByHostName: ReadonlyMap<string, readonly Route[]>;
  readonly services: ReadonlyMap<string, RoutingInForce['services'][number]>;
  readonly limits: RoutingInForce['limits'];
  /** Highest rank of all routes; 0 is the most urgent. */
  readonly leastUrgentRank: number;
}

/** Compiles the routing document in force. */
export function compileRoutes(document: RoutingInForce): RouteTable {
  const routesByHostName = new Map<string, Route[]>();
  for (const route of document.routes) {
    const hostName = route.hostName.toLowerCase();
    const hostRoutes = routesByHostName.get(hostName);
    if (hostRoutes === undefined) routesByHostName.set(hostName, [route]);
    else hostRoutes.push(route);
  }
  for (const routes of routesByHostName.values()) {
    routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
  }
  const services = new Map(document.services.map((service) => [service.service, service]));
  const { version } = document;
  const { headTimeoutMs, idleTimeoutMs } = document.limits;
  const limits = {
    ...document.limits,
    headTimeoutMs: Math.min(headTimeoutMs, maxTimerMs),
    idleTimeoutMs: Math.min(idleTimeoutMs, maxTimerMs),
  };
  const leastUrgentRank = document.routes.reduce((most, { rank }) => Math.max(most, rank), 0);
  return { version, routesByHostName, services, limits, leastUrgentRank };
}

/**
 * Finds the route of a call: the one of its host name with the longest prefix of its path.
 *
 * @param table - compiled document
 * @param hostHeader - value of the Host header, with or without port
 * @param path - path without query
 */
export function findRoute(table: RouteTable, hostHeader: string, path: string): Route | undefined {
  const portIndex = hostHeader.lastIndexOf(':');
  const hostName = (portIndex < 0 ? hostHeader : hostHeader.slice(0, portIndex)).toLowerCase();
  for (const route of table.routesByHostName.get(hostName) ?? []) {
    if (path.startsWith(route.pathPrefix)) return route;
  }
  return undefined;
}

/** Round robin credit of each target service of one route. */
type TargetCredits = Map<string, number>;

/**
 * Distributes the calls of each route over its targets by smooth weighted round robin, so that any
 * run of calls is close to the weights.
 */
export class TargetSelector {
  private creditsByRoute = new Map<string, { route: Route; credits: TargetCredits }>();

  /**
   * Selects the service of the next call.
   *
   * @param route - route in force
   * @returns the service; undefined if the route has several targets and every weight is 0
   */
  next(route: Route): string | undefined {
    const [only] = route.targets;
    if (route.targets.length === 1) return only?.service;
    const credits = this.creditsOf(route);
    let totalWeight = 0;
    let best: string | undefined;
    let bestCredit = Number.NEGATIVE_INFINITY;
    for (const { service, weight } of route.targets) {
      if (weight <= 0) continue;
      totalWeight += weight;
      const credit = (credits.get(service) ?? 0) + weight;
      credits.set(service, credit);
      if (credit > bestCredit) {
        best = service;
        bestCredit = credit;
      }
    }
    if (best !== undefined) credits.set(best, bestCredit - totalWeight);
    return best;
  }

  /** Drops the credits of routes that are no longer in the table. */
  prune(table: RouteTable): void {
    const inForce = new Set([...table.routesByHostName.values()].flat());
    for (const [routeId, { route }] of this.creditsByRoute) {
      if (!inForce.has(route)) this.creditsByRoute.delete(routeId);
    }
  }

  private creditsOf(route: Route): TargetCredits {
    const known = this.creditsByRoute.get(route.routeId);
    if (known?.route === route) return known.credits;
    const credits: TargetCredits = new Map();
    this.creditsByRoute.set(route.routeId, { route, credits });
    return credits;
  }
}
