import type { OrderBases } from '@buckthornlug/core/routing/orderBases.js';
import type { RoutingDocument } from '@buckthornlug/protocol/routing/routingSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, errAsync, ok, okAsync, type ResultAsync } from 'neverthrow';

import type { HostContext } from '../runtime/hostTypes.js';
import type { ControlGroup, RoutingCommand } from '../submissions/controlGroup.js';

/** Commands of operators about routing, committed by the control group. */

/** Time limit of a commit or a confirmed read; long enough for one election. */
const commandTimeoutMs = 2500;

/** The commit of a document that is under way. */
interface Replacement {
  readonly document: RoutingDocument;
  readonly result: ResultAsync<void, Failure>;
}

/** Commands that a control host accepts from operators. */
export interface RoutingCommands {
  /**
   * Puts a routing document in force. A version that is not higher than the one in force is
   * accepted, changes nothing and is not committed again.
   *
   * @returns BL5001 if nothing was proposed, BL5002 if the outcome is not known
   */
  readonly replace: (document: RoutingDocument) => ResultAsync<void, Failure>;
  /**
   * Begins or ends the evacuation of an availability zone; idempotent. An order is taken only while its caller
   * waits for it and the zone has not changed since the order was received.
   *
   * @param isWanted - whether the caller still waits; asked once a quorum has been reached
   * @returns BL5001 if nothing was proposed, BL5002 if the outcome is not known, BL5013 if the order was
   *   not taken
   */
  readonly setEvacuation: (
    availabilityZone: string,
    isEvacuated: boolean,
    isWanted?: () => boolean,
  ) => ResultAsync<void, Failure>;
  /**
   * Reads the newest routing document, confirmed by a quorum.
   *
   * @returns BL2010 if there is none, BL5001 if no quorum confirms it, BL5005 on other hosts
   */
  readonly read: () => ResultAsync<RoutingDocument, Failure>;
}

/**
 * Creates the commands of a control host.
 *
 * @param bases - what the host knew when it received an order
 */
export function createRoutingCommands(
  context: HostContext,
  control: ControlGroup,
  bases: Pick<OrderBases, 'baseOf'>,
): RoutingCommands {
  const { log, clock, metrics } = context;
  const { routing } = control.machine;

  const recordOutcome = (
    event: string,
    fields: Record<string, string | number>,
    outcome: string,
  ): void => {
    log.info(event, { ...fields, outcome });
    metrics.count('operator_orders_total', { result: outcome });
  };

  /** Commits a command, and logs and counts its outcome. */
  const commit = (
    command: RoutingCommand,
    event: string,
    fields: Record<string, string | number>,
  ): ResultAsync<void, Failure> =>
    control
      .commit(command, commandTimeoutMs)
      .andThen((reply) => {
        const isSuperseded = 'isSuperseded' in reply && reply.isSuperseded === true;
        return isSuperseded ? err(failure('BL5013', 'the zone has changed since')) : ok(undefined);
      })
      .map(() => recordOutcome(event, fields, 'committed'))
      .mapErr((problem) => {
        recordOutcome(event, fields, problem.code);
        return problem;
      });

  /** Commits of documents that are under way on this host, by version. */
  const replacements = new Map<number, Replacement>();

  const replace = (document: RoutingDocument): ResultAsync<void, Failure> => {
    const { version, routes } = document;
    const heldVersion = routing.version();
    const event = 'routingReplaced';
    const fields = { version, heldVersion, routes: routes.length };
    // What is applied here is committed, and only a higher version replaces it.
    if (heldVersion >= version) {
      recordOutcome(event, fields, 'held');
      return okAsync(undefined);
    }
    const known = replacements.get(version);
    if (known?.document.source === document.source) return known.result;
    const result = commit({ type: 'replaceRouting', document }, event, fields);
    const replacement = { document, result };
    replacements.set(version, replacement);
    const forget = () => {
      if (replacements.get(version) === replacement) replacements.delete(version);
    };
    result.then(forget, forget);
    return result;
  };

  return {
    replace,
    setEvacuation: (availabilityZone, isEvacuated, isWanted = () => true) => {
      const event = isEvacuated ? 'evacuationBegun' : 'evacuationEnded';
      const changes = routing.evacuationChanges();
      const baseAtMs = bases.baseOf(availabilityZone, changes, clock.nowMs());
      const order = { type: 'evacuation', availabilityZone, isEvacuated, baseAtMs } as const;
      // A caller that has left is known to have once its connection has been read up to its end, which the
      // exchange with a quorum leaves time for.
      return control.readBarrier(commandTimeoutMs).andThen(() => {
        if (!isWanted()) {
          log.warn('orderGivenUp', { event, availabilityZone, baseAtMs });
          return errAsync(failure('BL5013', 'the caller has left'));
        }
        return commit({ ...order, atMs: clock.wallMs() }, event, { availabilityZone, baseAtMs });
      });
    },
    read: () => {
      if (!control.isMember) return errAsync(failure('BL5005', 'this host is no control host'));
      const askedAtMs = clock.nowMs();
      return control.readBarrier(commandTimeoutMs).andThen(() => {
        const elapsedMs = Math.round(clock.nowMs() - askedAtMs);
        log.info('routingRead', { version: routing.version(), elapsedMs });
        const document = routing.current();
        return document === undefined
          ? err(failure('BL2010', 'no routing document was submitted'))
          : ok(document);
      });
    },
  };
}
