import test from 'ava';
import { Hono } from 'hono';

import type { HostRecord, MembershipView } from '../runtime/hostTypes.js';
import { registerVersionsRoutes } from './versionsRoutes.js';

function hostAt(hostId: string, documentVersion: number): HostRecord {
  const endpoint = { address: '127.0.0.1', port: 1 };
  const listen = { internal: endpoint, callers: endpoint, admin: endpoint };
  const place = { region: 'lagos', availabilityZone: 'lagos-a', roles: ['entry'], incarnation: 1 };
  return { ...place, ...listen, hostId, state: 'alive', documentVersion };
}

/** Routes of a host that knows version 7 only on itself; the others report to other members. */
function createApp(behindOnMember: readonly string[] | undefined): Hono {
  const app = new Hono();
  const hosts = [hostAt('a1', 7), hostAt('a2', 6), hostAt('a3', 0)];
  const membership = { hosts: () => hosts, self: () => hosts[0] } as unknown as MembershipView;
  registerVersionsRoutes(app, {
    membership: () => membership,
    documentVersion: () => 7,
    running: [],
    expectedHosts: [],
    askMembersForBehindHosts: () => Promise.resolve(behindOnMember),
  });
  return app;
}

const cases = [
  { memberAnswer: 'that all hosts have confirmed', answer: [], behind: [], status: 200 },
  { memberAnswer: 'that one host is behind', answer: ['a3'], behind: ['a3'], status: 504 },
  {
    memberAnswer: 'a host as behind that confirmed to this host',
    answer: ['a1'],
    behind: [],
    status: 200,
  },
  { memberAnswer: 'nothing', answer: undefined, behind: ['a2', 'a3'], status: 504 },
] as const;

for (const { memberAnswer, answer, behind, status } of cases) {
  test(`hosts behind a version are merged with those of a member; it reports ${memberAnswer}`, async (t) => {
    const app = createApp(answer);
    const namesOf = async (reply: Response) => {
      const { behindHosts } = (await reply.json()) as { behindHosts: { hostId: string }[] };
      return behindHosts.map((host) => host.hostId);
    };
    t.deepEqual(await namesOf(await app.request('/v1/status')), behind);
    const version = await app.request('/v1/versions/7');
    t.is(version.status, status);
    t.deepEqual(await namesOf(version), behind);
  });
}
