import type { RoutingDocument } from '@buckthornlug/protocol/routing/routingSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, errAsync, ok, type ResultAsync } from 'neverthrow';

import type { HostContext } from '../runtime/hostTypes.js';
import type { ControlGroup, RoutingCommand } from '../submissions/controlGroup.js';

/** Commands of operators about routing, committed by the control group. */

/** Time limit of a commit or a confirmed read; long enough for one election. */
const commandTimeoutMs = 2500;

/** Commands that a control host accepts from operators. */
export interface RoutingCommands {
  /**
   * Puts a routing document in force. A version that is not higher than the one in force is
   * accepted and changes nothing.
   *
   * @returns BL5001 if nothing was proposed, BL5002 if the outcome is not known
   */
  readonly replace: (document: RoutingDocument) => ResultAsync<void, Failure>;
  /** Begins or ends the evacuation of an availability zone; idempotent. */
  readonly setEvacuation: (
    availabilityZone: string,
    isEvacuated: boolean,
  ) => ResultAsync<void, Failure>;
  /**
   * Reads the newest routing document, confirmed by a quorum.
   *
   * @returns BL2010 if there is none, BL5001 if no quorum confirms it, BL5005 on other hosts
   */
  readonly read: () => ResultAsync<RoutingDocument, Failure>;
}

/** Creates the commands of a control host. */
export function createRoutingCommands(
  context: HostContext,
  control: ControlGroup,
): RoutingCommands {
  const { log, clock, metrics } = context;
  const { routing } = control.machine;

  /** Commits a command, and logs and counts its outcome. */
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
