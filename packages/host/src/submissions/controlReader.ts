import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import { err, ok, ResultAsync, type Result } from 'neverthrow';

import type { PeerClients } from '../rpc/peerClients.js';
import type { ControlGroup } from './controlGroup.js';
import type { ControlRead, ControlReadReply } from './submissionsRouter.js';

/** Linearizable reads of the control group from any host. */

type ControlValue = Extract<ControlReadReply, { ok: true }>;

/**
 * Reads on this member once it has applied everything committed.
 *
 * @param request - submission whose outcome is read, or the document if it names none
 */
export async function readOnMember(
  control: ControlGroup,
  request: ControlRead,
): Promise<ControlReadReply> {
  const caughtUp = await control.readBarrier(request.timeoutMs);
  if (caughtUp.isErr()) return { ok: false, failure: caughtUp.error };
  const { documents } = control.machine;
  if (request.submissionId === undefined) return { ok: true, document: documents.current() };
  return { ok: true, outcome: documents.findOutcome(request.submissionId) };
}

async function readFromAnyMember(
  control: ControlGroup,
  peers: Pick<PeerClients, 'request'>,
  otherMemberIds: readonly string[],
  request: ControlRead,
): Promise<Result<ControlValue, Failure>> {
  let problem = failure('BL5001', 'no member of the control group answered');
  if (control.isMember) {
    const reply = await readOnMember(control, request);
    if (reply.ok) return ok(reply);
    problem = reply.failure;
  }
  for (const hostId of otherMemberIds) {
    const reply = await peers.request(
      hostId,
      (client, signal) => client.submissions.read.query(request, { signal }),
      request.timeoutMs,
    );
    if (reply.isOk() && reply.value.ok) return ok(reply.value);
    problem = reply.isErr() ? reply.error : problem;
  }
  return err(problem);
}

/**
 * Reads on this host if it is a member; otherwise, or after a failure, on the first other member that
 * answers.
 *
 * @param otherMemberIds - other members, in the order in which they are asked
 * @param request - what to read; the time limit applies to each member
 */
export function readControl(
  control: ControlGroup,
  peers: Pick<PeerClients, 'request'>,
  otherMemberIds: readonly string[],
  request: ControlRead,
): ResultAsync<ControlValue, Failure> {
  return new ResultAsync(readFromAnyMember(control, peers, otherMemberIds, request));
}
