import { findCallerZone } from '@buckthornlug/core/table/table.js';
import { failure, withEarlierCallsUnknown } from '@buckthornlug/protocol/results/failure.js';
import { err, errAsync } from 'neverthrow';

import { createShiftStepHolder } from '../documents/shiftStepHolder.js';
import { createPeerClients } from '../rpc/peerClients.js';
import { createRequestAuth } from '../rpc/requestAuth.js';
import { createDocumentHolder } from './documentHolder.js';
import type { HostParts } from './hostParts.js';
import type { DocumentInForce, HostContext } from './hostTypes.js';
import { createTableHolder } from '../table/tableHolder.js';
import { createStaticMembership } from './staticMembership.js';

/**
 * Creates the parts that a host has before any feature starts; they refuse every call as not run.
 *
 * @param context - context of the host
 * @param document - document in force from the start, if any
 */
export function createInitialParts(context: HostContext, document?: DocumentInForce): HostParts {
  const { settings, incarnation } = context;
  const auth = createRequestAuth(settings);
  const notStarted = failure('BL3003', 'the host has not started yet', { retryAfterMs: 500 });
  const notControlHost = failure('BL5005', 'this host is no control host');
  const noLedger = withEarlierCallsUnknown(
    failure('BL9001', 'the ledger has not started', { retryAfterMs: 1000 }),
  );
  const documents = createDocumentHolder(document);
  const parts: HostParts = {
    provide: (owned) => {
      Object.assign(parts, owned);
    },
    document: documents,
    table: createTableHolder(documents, context.clock, (elapsedMs) =>
      context.metrics.observeMs('table_compile_ms', elapsedMs),
    ),
    membership: createStaticMembership(settings, incarnation),
    membershipTask: undefined,
    datagrams: undefined,
    controlState: undefined,
    controlSilentMs: () => 0,
    shiftSteps: createShiftStepHolder(),
    peers: createPeerClients({
      settings,
      auth,
      timeline: context.timeline,
      memberAddress: (hostId) => parts.membership.find(hostId)?.internal,
    }),
    auth,
    control: undefined,
    openGroup: () => {
      throw new Error('the replicated groups have not started');
    },
    rpcHandlers: { ping: { ping: () => ({ hostId: settings.hostId, incarnation }) } },
    forwardedCalls: (_request, response) => response.writeHead(503).end(),
    placeCall: () => Promise.resolve({ place: 'refused', failure: notStarted }),
    forecastAdmission: () => Promise.resolve({ end: () => undefined }),
    mayRetry: () => false,
    hedging: {
      delayMs: () => undefined,
      place: () => Promise.resolve({ place: 'refused', failure: notStarted }),
    },
    receiveAnnouncement: () => err(notStarted),
    ledger: {
      begin: () => Promise.resolve({ decision: 'refused', failure: noLedger }),
      find: () => Promise.resolve('notKnown'),
      finish: () => errAsync(noLedger),
    },
    findCallerZone: (callerAddress) => {
      const table = parts.table.current();
      return table === undefined ? undefined : findCallerZone(table, callerAddress);
    },
    shifts: {
      admitShifted: () => undefined,
      dispatchShifted: () => undefined,
      movedPermille: () => 0,
    },
    poolOwner: () => undefined,
    poolOwnersVersion: () => 0,
    routingCommands: undefined,
    reportBackend: () => errAsync(notControlHost),
    removeBackend: () => errAsync(notControlHost),
    isReady: () => false,
    adminRoutes: [],
    running: [],
  };
  return parts;
}
