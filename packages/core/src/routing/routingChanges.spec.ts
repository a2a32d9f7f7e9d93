import type { Route, RoutingInForce } from '@buckthornlug/protocol/routing/routingSchema.js';
import test from 'ava';

import { seededRandom } from '../consensus/scheduleParts.js';
import { applyRoutingChanges, RoutingHistory } from './routingChanges.js';

const route = (index: number, change: Partial<Route> = {}): Route => ({
  routeId: `r-${index}`,
  hostName: `host-${index % 7}.example`,
  pathPrefix: `/${index}/`,
  targets: [{ service: 'desk', weight: 1 }],
  execution: 'single',
  timeLimitMs: 1000,
  targetMs: 300,
  rank: 0,
  maxAttempts: 2,
  hasAffinity: false,
  homeRegions: [],
  ...change,
});

const document = (version: number, routes: readonly Route[]): RoutingInForce => ({
  version,
  routes: [...routes],
  services: [
    { service: 'desk', healthPath: '/', connectionLimit: 1, coldStartMs: 0, coldCallsPerS: 1 },
  ],
  limits: { maxHeadBytes: 1, maxBodyBytes: 1, headTimeoutMs: version + 1, idleTimeoutMs: 1 },
});

const routesOf = (count: number) => Array.from({ length: count }, (_, index) => route(index));

const withSortedRoutes = (one: RoutingInForce): RoutingInForce => ({
  ...one,
  routes: [...one.routes].sort((left, right) => left.routeId.localeCompare(right.routeId)),
});

/** Adds, changes and removes some routes. */
function edit(routes: readonly Route[], random: () => number): Route[] {
  const kept = routes.filter(() => random() > 0.05);
  const changed = kept.map((one) =>
    random() > 0.1 ? one : { ...one, homeRegions: [`region-${Math.floor(random() * 3)}`] },
  );
  const added = random() > 0.5 ? [route(1000 + Math.floor(random() * 1e6))] : [];
  return [...added, ...changed];
}

test('changes since any version that a host may hold lead to the document in force', (t) => {
  for (let seed = 1; seed <= 50; seed += 1) {
    const random = seededRandom(seed);
    const history = new RoutingHistory();
    const documents = [document(1, routesOf(60))];
    history.begin(documents[0]);
    for (let version = 4; version < 40; version += 1 + Math.floor(4 * random())) {
      const next = document(version, edit(documents.at(-1)?.routes ?? [], random));
      history.record(next);
      documents.push(next);
    }
    const inForce = documents.at(-1) as RoutingInForce;
    for (const held of documents) {
      const changes = history.changesSince(held.version, inForce);
      if (changes === undefined) continue;
      for (const between of documents) {
        if (between.version < held.version) continue;
        const applied = applyRoutingChanges(between, changes);
        t.deepEqual(withSortedRoutes(applied), withSortedRoutes(inForce), `seed ${seed}`);
      }
    }
    const former = documents.at(-2)?.version ?? 0;
    t.not(history.changesSince(former, inForce), undefined);
  }
});

test('one changed route of thousands is one route in the changes', (t) => {
  const history = new RoutingHistory();
  const routes = routesOf(4000);
  history.begin(document(1, routes));
  const moved = route(7, { homeRegions: ['north'] });
  history.record(
    document(
      2,
      routes.map((one) => (one.routeId === moved.routeId ? moved : one)),
    ),
  );
  const third = document(3, routes.slice(0, -1));
  history.record(third);
  const { routes: changed, removedRouteIds } = history.changesSince(2, third) ?? {};
  t.deepEqual(changed, [route(7)]);
  t.deepEqual(removedRouteIds, ['r-3999']);
  t.deepEqual(history.changesSince(1, third)?.removedRouteIds, ['r-3999']);
});

const unknown = [
  { what: 'a version that was never in force here', held: 2 },
  { what: 'the version in force', held: 5 },
  { what: 'a higher version', held: 9 },
  { what: 'no document', held: -1 },
];
for (const { what, held } of unknown) {
  test(`there are no changes for a host that holds ${what}`, (t) => {
    const history = new RoutingHistory();
    history.begin(document(1, routesOf(4)));
    const inForce = document(5, routesOf(5));
    history.record(inForce);
    t.not(history.changesSince(1, inForce), undefined);
    t.is(history.changesSince(held, inForce), undefined);
  });
}

const ordered = [
  { what: 'two routes have the same ID', second: route(1, { pathPrefix: '/other/' }) },
  { what: 'two routes match the same calls', second: route(1, { routeId: 'other' }) },
];
for (const { what, second } of ordered) {
  test(`a document whose order matters goes whole: ${what}`, (t) => {
    const history = new RoutingHistory();
    history.begin(document(1, routesOf(4)));
    history.record(document(2, [...routesOf(4), second]));
    const third = document(3, [...routesOf(5), second]);
    history.record(third);
    t.is(history.changesSince(1, third), undefined);
    t.is(history.changesSince(2, third), undefined);
    const fourth = document(4, routesOf(5));
    history.record(fourth);
    t.is(history.changesSince(3, fourth), undefined);
  });
}

test('the history is bounded in versions and in routes', (t) => {
  const history = new RoutingHistory();
  history.begin(document(1, routesOf(50)));
  let inForce = document(1, routesOf(50));
  for (let version = 2; version <= 200; version += 1) {
    inForce = document(version, [...routesOf(50).slice(1), route(0, { timeLimitMs: version })]);
    history.record(inForce);
  }
  t.not(history.changesSince(199, inForce), undefined);
  t.not(history.changesSince(150, inForce), undefined);
  t.is(history.changesSince(100, inForce), undefined);
  const many = document(201, routesOf(20_000));
  history.record(many);
  t.is(history.changesSince(200, many), undefined);
});
