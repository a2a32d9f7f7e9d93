import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type {
  CommittedStep,
  ShiftSnapshot,
  ShiftStepCommand,
} from '@buckthornlug/protocol/shifts/shiftSchema.js';

import type { ReplicatedMachine } from '../consensus/replicatedMachineTypes.js';
import {
  BackendRegistry,
  type NoteBackendCommand,
  type RegistryReply,
  type RegistrySnapshot,
  type RemoveBackendCommand,
} from '../registry/backendRegistry.js';
import {
  RoutingStore,
  type EvacuationCommand,
  type ReplaceRoutingCommand,
  type RoutingReply,
  type RoutingSnapshot,
} from '../routing/routingStore.js';
import { ShiftTable } from '../shifts/shiftTable.js';
import { DocumentStore } from './documentStore.js';
import { checkFormAnewRequest } from './formAnewSignature.js';
import {
  FormationRegistry,
  type FindFormationCommand,
  type Formation,
  type FormationReply,
  type GivenUpFormations,
  type GiveUpFormationCommand,
  type GiveUpOutcome,
  type RegisterFormationCommand,
} from './formationRegistry.js';
import type { VerifySubmission } from './submissionSignature.js';
import type { DocumentsSnapshot, SubmissionCommand, SubmissionOutcome } from './submissionTypes.js';

/** Replicated state machine of the control group. */

/** Reply to a `ShiftStepCommand`. */
export type ShiftStepOutcome =
  | { readonly committed: true; readonly step: CommittedStep }
  | { readonly committed: false; readonly failure: Failure };

/** Reply to each type of command of the control group. */
export interface ControlReplies {
  readonly submission: SubmissionOutcome;
  readonly shiftStep: ShiftStepOutcome;
  readonly registerFormation: FormationReply;
  readonly giveUpFormation: GiveUpOutcome;
  readonly findFormation: FormationReply;
  readonly replaceRouting: RoutingReply;
  readonly evacuation: RoutingReply;
  readonly noteBackend: RegistryReply;
  readonly removeBackend: RegistryReply;
}

/** A command of the control group. */
export type ControlCommand =
  | SubmissionCommand
  | ShiftStepCommand
  | RegisterFormationCommand
  | GiveUpFormationCommand
  | FindFormationCommand
  | ReplaceRoutingCommand
  | EvacuationCommand
  | NoteBackendCommand
  | RemoveBackendCommand;

/** A reply of the control group. */
export type ControlReply = ControlReplies[keyof ControlReplies];

interface ControlSnapshot {
  readonly documents: DocumentsSnapshot;
  readonly shifts: ShiftSnapshot;
  /** Absent in snapshots of releases without the registry of formations. */
  readonly formations?: readonly Formation[];
  readonly givenUpFormations?: readonly GivenUpFormations[];
  /** Absent in snapshots of releases without routing documents. */
  readonly routing?: RoutingSnapshot;
  readonly registry?: RegistrySnapshot;
}

/** State machine of the control group, with read access to its stores. */
export interface ControlMachine extends ReplicatedMachine<ControlCommand, ControlReply> {
  readonly documents: DocumentStore;
  readonly shifts: ShiftTable;
  readonly routing: RoutingStore;
  readonly registry: BackendRegistry;
}

function commitShiftStep(
  documents: DocumentStore,
  shifts: ShiftTable,
  { step }: ShiftStepCommand,
): ShiftStepOutcome {
  const current = documents.current();
  const cap = current?.document.traffic[step.service]?.shiftCap;
  if (current === undefined || cap === undefined) {
    const noTrafficSection = failure('BL8002', `service "${step.service}" has no traffic section`);
    return { committed: false, failure: noTrafficSection };
  }
  const limits = { documentVersion: current.version, stepPermille: cap.stepPermille };
  const result = shifts.commit(step, limits);
  if (result.isErr()) return { committed: false, failure: result.error };
  return { committed: true, step: result.value };
}

function giveUpFormation(
  documents: DocumentStore,
  formations: FormationRegistry,
  { request, authority }: GiveUpFormationCommand,
): GiveUpOutcome {
  const checked = checkFormAnewRequest(documents.teams(), request, authority);
  if (checked.isErr()) return { givenUp: false, failure: checked.error };
  return formations.giveUp(request.groupId, request.lostId);
}

/**
 * Creates the state machine of the control group.
 *
 * @param verify - checks the signature of a submission
 */
export function createControlMachine(verify: VerifySubmission): ControlMachine {
  const documents = new DocumentStore(verify);
  const shifts = new ShiftTable();
  const formations = new FormationRegistry();
  const routing = new RoutingStore();
  const registry = new BackendRegistry();
  return {
    documents,
    shifts,
    routing,
    registry,
    apply: (command) => {
      switch (command.type) {
        case 'submission':
          return documents.submit(command);
        case 'shiftStep':
          return commitShiftStep(documents, shifts, command);
        case 'giveUpFormation':
          return giveUpFormation(documents, formations, command);
        case 'findFormation':
          return formations.find(command.groupId);
        case 'replaceRouting':
          return routing.replace(command);
        case 'evacuation':
          return routing.setEvacuation(command);
        case 'noteBackend':
          return registry.recordReport(command);
        case 'removeBackend':
          return registry.remove(command);
        default:
          return formations.register(command.formation);
      }
    },
    read: (command) => formations.find('groupId' in command ? command.groupId : ''),
    snapshot: (): ControlSnapshot => {
      const registered = formations.snapshot();
      return {
        documents: documents.snapshot(),
        shifts: shifts.snapshot(),
        formations: registered.formations,
        givenUpFormations: registered.givenUp,
        routing: routing.snapshot(),
        registry: registry.snapshot(),
      };
    },
    restore: (snapshot) => {
      const restored = snapshot as ControlSnapshot;
      documents.restore(restored.documents);
      shifts.restore(restored.shifts);
      formations.restore({
        formations: restored.formations ?? [],
        givenUp: restored.givenUpFormations ?? [],
      });
      routing.restore(restored.routing);
      registry.restore(restored.registry);
    },
  };
}
