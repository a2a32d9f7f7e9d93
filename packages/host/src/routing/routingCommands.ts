import type { RoutingDocument } from '@buckthornlug/protocol/routing/routingSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, errAsync, ok, type ResultAsync } from 'neverthrow';

import type { HostContext } from '../runtime/hostTypes.js';
import type { ControlGroup, RoutingCommand } from '../submissions/controlGroup.js';

/** Orders of operators about routing, carried out by the control group. */

/** Time limit of one commit or confirmed read; covers one election. */
const commandTimeoutMs = 2500;

/** Orders that a control host takes from operators. */
export interface RoutingCommands {
  /**
   * Puts a routing document in force. A version that is not higher than the one in force is
   * accepted and changes nothing.
   *
   * @returns BL5001 where nothing was proposed, BL5002 where the outcome is not known
   */
  readonly replace: (document: RoutingDocument) => ResultAsync<void, Failure>;
  /** Begins or ends the evacuation of an availability zone; may be repeated. */
  readonly setEvacuation: (
    availabilityZone: string,
    isEvacuated: boolean,
  ) => ResultAsync<void, Failure>;
  /**
   * Reads the newest routing document, confirmed by a quorum.
   *
   * @returns BL2010 where there is none, BL5001 where no quorum confirms it
   */
  readonly read: () => ResultAsync<RoutingDocument, Failure>;
}

/**
 * Creates the orders of a control host.
 *
 * @param context - context of the host
 * @param control - control group
 */
export function createRoutingCommands(
  context: HostContext,
  control: ControlGroup,
): RoutingCommands {
  const { log, clock, metrics } = context;
  const { routing } = control.machine;

  /** Commits an order and tells what became of it. */
  const commit = (
    command: RoutingCommand,
    event: string,
    fields: Record<string, string | number>,
  ): ResultAsync<void, Failure> => {
    const recordOutcome = (outcome: string) => {
      log.info(event, { ...fields, outcome });
      metrics.count('operator_orders_total', { result: outcome });
    };
    return control
      .commit(command, commandTimeoutMs)
      .map(() => recordOutcome('committed'))
      .mapErr((problem) => {
        recordOutcome(problem.code);
        return problem;
      });
  };

  return {
    replace: (document) => {
      const { version, routes } = document;
      const fields = { version, heldVersion: routing.version(), routes: routes.length };
      return commit({ type: 'replaceRouting', document }, 'routingReplaced', fields);
    },
    setEvacuation: (availabilityZone, isEvacuated) => {
      const atMs = clock.wallMs();
      const command = { type: 'evacuation', availabilityZone, isEvacuated, atMs } as const;
      return commit(command, isEvacuated ? 'evacuationBegun' : 'evacuationEnded', {
        availabilityZone,
      });
    },
    read: () => {
      if (!control.isMember) return errAsync(failure('BL5005', 'this host is no control host'));
      return control.readBarrier(commandTimeoutMs).andThen(() => {
        const document = routing.current();
        return document === undefined
          ? err(failure('BL2010', 'no routing document was submitted'))
          : ok(document);
      });
    },
  };
}
