import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';

import type { Scenario } from './scenarioSchema.js';

/** Team that owns the whole document of a scenario. */
export const scenarioTeam = {
  id: 'platform',
  key: { id: 'platform-1', secret: 'only-for-tests-team-secret' },
} as const;

/** Header field that holds the identity of once-only work. */
export const identityHeader = 'idempotency-key';

/** Services of a scenario and the Host header that reaches them. */
export const scenarioServices = { shop: 'shop.example', depot: 'depot.example' } as const;

/** How a call of a kind looks, and the target of its rank. */
export const scenarioKinds = {
  page: { method: 'GET', path: '/pages', targetMs: 600 },
  reserve: { method: 'POST', path: '/reservations', targetMs: 250 },
  report: { method: 'POST', path: '/reports', targetMs: 3000 },
} as const;

/** Client block of each zone, by the order of the zones. */
function clientBlockNumber(scenario: Scenario, zone: string): number {
  const firstNumber = 221;
  return firstNumber + Object.values(scenario.deployment.regions).flat().indexOf(zone);
}

/**
 * Address of the callers of a zone.
 *
 * @param scenario - checked scenario
 * @param zone - zone whose client block holds the address
 */
export function callerAddress(scenario: Scenario, zone: string): string {
  return `127.${clientBlockNumber(scenario, zone)}.0.1`;
}

function clientBlocksOf(scenario: Scenario): unknown {
  const blocks = Object.values(scenario.deployment.regions)
    .flat()
    .map((zone) => ({
      block: `127.${clientBlockNumber(scenario, zone)}.0.0/16`,
      availabilityZone: zone,
    }));
  return { callers: blocks };
}

function kindsOf(ledgerGroups: readonly string[]): unknown[] {
  const reserve = {
    id: 'reserve',
    match: { methods: ['POST'], pathPrefix: '/reservations' },
    rank: 'urgent',
    execution: 'once',
    identity: { header: identityHeader },
    ledgerGroups,
    timeLimitMs: 2500,
  };
  const report = {
    id: 'report',
    match: { methods: ['POST'], pathPrefix: '/reports' },
    rank: 'bulk',
    execution: 'single',
    timeLimitMs: 9000,
  };
  const page = {
    id: 'page',
    match: { methods: ['GET'], pathPrefix: '/' },
    rank: 'normal',
    execution: 'idempotent',
    timeLimitMs: 1800,
  };
  return ledgerGroups.length > 0 ? [reserve, report, page] : [report, page];
}

/**
 * Builds the first document of a scenario: two services, three ranks, all zones of the deployment.
 *
 * @param scenario - checked scenario
 */
export function scenarioDocument(scenario: Scenario): SteeringDocument {
  const { regions, groups } = scenario.deployment;
  const ledgerGroups = Object.keys(groups).filter((id) => id.startsWith('ledger-'));
  const regionIds = Object.keys(regions);
  const links = regionIds.flatMap((from, index) =>
    regionIds.slice(index + 1).map((to) => ({
      from,
      to,
      oneWayDelayMs: 10,
      linkBytesPerS: 500_000_000,
    })),
  );
  const floors = { urgent: 300, normal: 200, bulk: 100, ...scenario.floorsPermille };
  const traffic = {
    shiftCap: { stepPermille: 250, stepIntervalMs: 500, maxShiftedCallsPerS: 40 },
  };
  const checked = checkDocument({
    format: 1,
    teams: [{ id: scenarioTeam.id, sections: ['*'], keys: [scenarioTeam.key] }],
    network: {
      regions: Object.entries(regions).map(([id, availabilityZones]) => ({
        id,
        availabilityZones,
      })),
      links,
      zoneDelayMs: 1,
      callerDelayMs: 1,
    },
    ranks: [
      { id: 'urgent', targetMs: 250, floorPermille: floors.urgent, worth: 10 },
      { id: 'normal', targetMs: 600, floorPermille: floors.normal, worth: 3 },
      { id: 'bulk', targetMs: 3000, floorPermille: floors.bulk, worth: 1 },
    ],
    clientBlocks: clientBlocksOf(scenario),
    services: Object.fromEntries(
      Object.entries(scenarioServices).map(([id, hostName]) => [
        id,
        {
          hostNames: [hostName],
          kinds: kindsOf(ledgerGroups),
          notRunStatuses: [503],
          slowStartMs: 200,
          lookupTtlMs: 1000,
        },
      ]),
    ),
    traffic: { shop: traffic, depot: traffic },
  });
  if (checked.isErr()) throw new Error(JSON.stringify(checked.error));
  return checked.value;
}
