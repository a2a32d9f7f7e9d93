import type {
  ControlCommand,
  ControlMachine,
  ControlReply,
} from '@buckthornlug/core/submissions/controlMachine.js';
import type {
  Formation,
  FormationReply,
  GiveUpFormationCommand,
} from '@buckthornlug/core/submissions/formationRegistry.js';
import type { ShiftTable } from '@buckthornlug/core/shifts/shiftTable.js';
import type {
  SubmissionCommand,
  SubmissionOutcome,
} from '@buckthornlug/core/submissions/submissionTypes.js';
import type { VersionedSection } from '@buckthornlug/protocol/document/documentTypes.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { CommittedStep, ShiftStep } from '@buckthornlug/protocol/shifts/shiftSchema.js';
import { err, errAsync, ok, okAsync, type Result, type ResultAsync } from 'neverthrow';

import type { GroupHandle } from '../consensus/groupTypes.js';
import type { DocumentInForce } from '../runtime/hostTypes.js';

/** Commands that change the routing document, evacuations or registered backend servers. */
export type RoutingCommand = Extract<
  ControlCommand,
  { readonly type: 'replaceRouting' | 'evacuation' | 'noteBackend' | 'removeBackend' }
>;

/** Versions of the control group's committed state that a host holds. */
interface CommittedVersions {
  readonly version: number;
  readonly shiftRevision: number;
}

/** Access of a host's features to the control group. */
export interface ControlGroup {
  /** Whether this host is a member, so that its state machine follows the group. */
  readonly isMember: boolean;
  readonly machine: ControlMachine;
  /** Committed shift steps; empty on hosts that are not members. */
  readonly table: ShiftTable;
  /** The accepted document as replicated on this member. */
  readonly document: () => DocumentInForce | undefined;
  readonly isLeader: () => boolean;
  readonly leaderId: () => string | undefined;
  /** Time since the moment before which this member holds all that was committed, in milliseconds. */
  readonly stateAgeMs: () => number;
  readonly submit: (
    command: SubmissionCommand,
    timeoutMs: number,
  ) => ResultAsync<SubmissionOutcome, Failure>;
  /** Commits a command about routing or backend servers; these commands are idempotent. */
  readonly commit: (
    command: RoutingCommand,
    timeoutMs: number,
  ) => ResultAsync<ControlReply, Failure>;
  /** Commits a shift step; BL8002 for a step of an older plan. */
  readonly submitStep: (step: ShiftStep, timeoutMs: number) => ResultAsync<CommittedStep, Failure>;
  /** Registers the first formation of a ledger group; returns the registered one. */
  readonly registerFormation: (
    formation: Formation,
    timeoutMs: number,
  ) => ResultAsync<Formation, Failure>;
  /** Reads the formations of a ledger group, without a commit. */
  readonly findFormation: (
    groupId: string,
    timeoutMs: number,
  ) => ResultAsync<FormationReply, Failure>;
  /** Allows a ledger group to be formed again without its earlier state; idempotent. */
  readonly giveUpFormation: (
    command: GiveUpFormationCommand,
    timeoutMs: number,
  ) => ResultAsync<void, Failure>;
  readonly readBarrier: (timeoutMs: number) => ResultAsync<void, Failure>;
  /** Everything that a host with the given versions lacks. */
  readonly updateSince: (have: CommittedVersions) => CommittedVersions & {
    readonly sinceVersion: number;
    readonly sections: readonly VersionedSection[];
    readonly shiftSteps: readonly CommittedStep[];
  };
  /** Calls the listener after each commit; returns a function that unsubscribes it. */
  readonly onChange: (listener: () => void) => () => void;
}

/**
 * Creates the access to the control group.
 *
 * @param machine - state machine of this host; it follows the group on members only
 */
export function createControlGroup(
  handle: GroupHandle<ControlCommand, ControlReply>,
  machine: ControlMachine,
  isMember: boolean,
): ControlGroup {
  const { documents, shifts } = machine;
  const unexpectedReply = failure('BL5002', 'the control group sent an unexpected kind of reply');
  return {
    isMember,
    machine,
    table: shifts,
    document: () => documents.current(),
    isLeader: handle.isLeader,
    leaderId: handle.leaderId,
    stateAgeMs: handle.stateAgeMs,
    submit: (command, timeoutMs) =>
      handle
        .submit(command, timeoutMs)
        .andThen((reply) => ('accepted' in reply ? okAsync(reply) : errAsync(unexpectedReply))),
    commit: handle.submit,
    submitStep: (step, timeoutMs) =>
      handle.submit({ type: 'shiftStep', step }, timeoutMs).andThen((reply) => {
        if (!('committed' in reply)) return errAsync(unexpectedReply);
        return reply.committed ? okAsync(reply.step) : errAsync(reply.failure);
      }),
    registerFormation: (formation, timeoutMs) =>
      handle.submit({ type: 'registerFormation', formation }, timeoutMs).andThen((reply) => {
        const registered = 'formation' in reply ? reply.formation : undefined;
        return registered === undefined ? err(unexpectedReply) : ok(registered);
      }),
    findFormation: (groupId, timeoutMs) =>
      handle
        .read({ type: 'findFormation', groupId }, timeoutMs)
        .andThen((reply) => ('formation' in reply ? ok(reply) : err(unexpectedReply))),
    giveUpFormation: (command, timeoutMs) =>
      handle.submit(command, timeoutMs).andThen((reply): Result<void, Failure> => {
        if (!('givenUp' in reply)) return err(unexpectedReply);
        return reply.givenUp ? ok(undefined) : err(reply.failure);
      }),
    readBarrier: handle.readBarrier,
    updateSince: (have) => ({
      version: documents.currentVersion(),
      shiftRevision: shifts.revision,
      sinceVersion: have.version,
      sections: documents.sectionsSince(have.version),
      shiftSteps: shifts.stepsSince(have.shiftRevision),
    }),
    onChange: (listener) => handle.onApplied(listener),
  };
}
