import type { DocumentInForce } from '@buckthornlug/host/runtime/hostTypes.js';
import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';

import { valueOf } from './results.js';

/** Host name and service of the test document. */
export const testHostName = 'parts.test';
export const testService = 'parts-desk';

/** Header field with the identity of once-only work in the test document. */
export const testIdentityHeader = 'x-request-identity';

/** What a test changes in the document. */
export interface TestDocumentOptions {
  readonly lookupTtlMs?: number;
  readonly timeLimitMs?: number;
  /** Whether `GET /catalogue` may be hedged. */
  readonly hedge?: boolean;
  readonly ledgerGroups?: readonly string[];
  readonly clientBlocks?: SteeringDocument['clientBlocks'];
}

/**
 * Builds a document with one service in two regions of three zones; `GET /catalogue` may be
 * repeated, `POST /orders` runs at most once by its identity, all else is dispatched once.
 *
 * @param options - fields to change
 */
export function createTestDocument(options: TestDocumentOptions = {}): SteeringDocument {
  const timeLimitMs = options.timeLimitMs ?? 2000;
  const document = {
    format: 1,
    teams: [
      {
        id: 'platform',
        sections: ['*'],
        keys: [{ id: 'key-1', secret: 'team-secret-0123456789' }],
      },
    ],
    network: {
      regions: [
        { id: 'lagos', availabilityZones: ['lagos-a', 'lagos-b'] },
        { id: 'abuja', availabilityZones: ['abuja-a'] },
      ],
      links: [{ from: 'lagos', to: 'abuja', oneWayDelayMs: 55, linkBytesPerS: 500_000_000 }],
      zoneDelayMs: 3.5,
      callerDelayMs: 1,
    },
    ranks: [
      { id: 'urgent', targetMs: 250, floorPermille: 300 },
      { id: 'middle', targetMs: 600, floorPermille: 200 },
      { id: 'bulk', targetMs: 3000, floorPermille: 100 },
    ],
    clientBlocks: options.clientBlocks ?? {},
    services: {
      [testService]: {
        hostNames: [testHostName],
        kinds: [
          {
            id: 'browse',
            match: { methods: ['GET', 'HEAD'], pathPrefix: '/catalogue' },
            rank: 'urgent',
            execution: 'idempotent',
            hedge: options.hedge ?? false,
            timeLimitMs,
          },
          {
            id: 'order',
            match: { methods: ['POST'], pathPrefix: '/orders' },
            rank: 'middle',
            execution: 'once',
            identity: { header: testIdentityHeader },
            ledgerGroups: options.ledgerGroups ?? ['ledger-a'],
            timeLimitMs,
          },
          { id: 'other', match: {}, rank: 'bulk', execution: 'single', timeLimitMs },
        ],
        notRunStatuses: [503],
        slowStartMs: 0,
        lookupTtlMs: options.lookupTtlMs ?? 100,
      },
    },
    traffic: {
      [testService]: {
        shiftCap: { stepPermille: 200, stepIntervalMs: 1000, maxShiftedCallsPerS: 1000 },
      },
    },
  };
  return valueOf(checkDocument(document));
}

/**
 * Wraps a document as the one in force.
 *
 * @param document - document
 * @param version - its version
 */
export function inForce(document: SteeringDocument, version = 1): DocumentInForce {
  return { version, sectionVersions: {}, document };
}
