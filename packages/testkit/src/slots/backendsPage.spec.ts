import { readAllBackends } from '@buckthornlug/cli/api/readAllBackends.js';
import { registerBackendsRoutes } from '@buckthornlug/host/slots/backendsFeature.js';
import {
  backendsReplySchema,
  type BackendStatus,
} from '@buckthornlug/protocol/admin/adminSchema.js';
import { failure } from '@buckthornlug/protocol/results/failure.js';
import test from 'ava';
import { Hono } from 'hono';
import { errAsync, ok, okAsync } from 'neverthrow';

const zones = ['a', 'a-1', 'b'].map((availabilityZone) => ({
  availabilityZone,
  hostIds: [`${availabilityZone}-h1`, `${availabilityZone}-h2`],
}));

function backendOf(availabilityZone: string, number: number): BackendStatus {
  return {
    backendId: `w${number}`,
    service: number % 2 === 0 ? 'shop' : 'shop-2',
    availabilityZone,
    endpoint: { address: '127.0.0.1', port: 1 },
    state: 'ready',
    ownerHostId: `${availabilityZone}-h1`,
    slots: 3,
    usedSlots: 0,
    ejected: false,
    holdsLease: true,
    silentMs: 10,
  };
}

/** Administration API over hosts that know four backend servers in each zone; one does not answer. */
function createApi(asked: string[]): Hono {
  const app = new Hono();
  registerBackendsRoutes(app, {
    zones: () => [...zones].reverse(),
    read: (hostId) => {
      asked.push(hostId);
      if (hostId === 'b-h2') return errAsync(failure('BL6003', 'no answer'));
      const zone = hostId.slice(0, -'-h1'.length);
      return okAsync([3, 0, 1, 2].map((number) => backendOf(zone, number)));
    },
  });
  return app;
}

function nameOf({ availabilityZone, service, backendId }: BackendStatus): string {
  return `${availabilityZone}/${service}/${backendId}`;
}

const expected = ['a', 'a-1', 'b'].flatMap((zone) => [
  `${zone}/shop-2/w1`,
  `${zone}/shop-2/w3`,
  `${zone}/shop/w0`,
  `${zone}/shop/w2`,
]);

for (const limit of [1, 3, 4, 5, 12, 500]) {
  test(`pages of ${limit} name each backend server once`, async (t) => {
    const app = createApi([]);
    const names: string[] = [];
    const missing = new Set<string>();
    let after = '';
    for (let pages = 0; pages < 20; pages += 1) {
      const reply = await app.request(`/v1/backends?limit=${limit}${after}`);
      const page = backendsReplySchema.parse(await reply.json());
      t.true(page.backends.length <= limit);
      names.push(...page.backends.map(nameOf));
      for (const hostId of page.missingHosts) missing.add(hostId);
      if (page.next === undefined) break;
      after = `&after=${encodeURIComponent(page.next)}`;
    }
    t.deepEqual(names, expected);
    t.deepEqual([...missing], ['b-h2']);
  });
}

test('a later page asks no host of the zones before it', async (t) => {
  const asked: string[] = [];
  await createApi(asked).request('/v1/backends?after=b%2Fshop%2Fw0');
  t.deepEqual(asked, ['b-h1', 'b-h2']);
});

for (const query of ['limit=0', 'limit=501', 'limit=x', 'page=2']) {
  test(`a wrong query is refused: ${query}`, async (t) => {
    const reply = await createApi([]).request(`/v1/backends?${query}`);
    t.is(reply.status, 400);
    t.like(await reply.json(), { failure: { code: 'BL3010' } });
  });
}

test('the operators’ tool reads all pages', async (t) => {
  const app = createApi([]);
  const paths: string[] = [];
  const all = await readAllBackends({
    get: async (path) => {
      paths.push(path);
      const short = path.includes('?') ? `${path}&limit=5` : `${path}?limit=5`;
      return ok(await (await app.request(short)).json());
    },
  });
  const { backends, missingHosts } = all._unsafeUnwrap();
  t.deepEqual(backends.map(nameOf), expected);
  t.deepEqual(missingHosts, ['b-h2']);
  t.is(paths.length, 3);
});
