import { createControlMachine } from '@buckthornlug/core/submissions/controlMachine.js';
import { verifySubmission } from '@buckthornlug/core/submissions/submissionSignature.js';
import { okAsync } from 'neverthrow';

import { controlGroupId } from '../consensus/controlGroupId.js';
import { findConfiguredMembers, holdsReplica } from '../consensus/groupMembers.js';
import type { Feature } from '../runtime/hostParts.js';
import { createControlGroup } from './controlGroup.js';
import { readControl, readOnMember } from './controlReader.js';
import { registerSubmissionRoutes } from './submissionRoutes.js';
import { commitSubmission } from './submitter.js';

const readTimeoutMs = 3000;

/** The control group, which commits submissions of operators and shift steps. */
export const submissionsFeature: Feature = {
  name: 'submissions',
  isEnabled: (settings) => settings.groups.some(({ id }) => id === controlGroupId),
  start: (context, parts) => {
    const { settings } = context;
    const memberIds = findConfiguredMembers(settings, controlGroupId);
    const isMember = holdsReplica(settings, controlGroupId);
    const machine = createControlMachine(verifySubmission);
    const handle = parts.openGroup<
      Parameters<typeof machine.apply>[0],
      ReturnType<typeof machine.apply>
    >(controlGroupId, machine);
    const control = createControlGroup(handle, machine, isMember);
    parts.provide(isMember ? { control, controlState: control } : { control });
    parts.rpcHandlers.submissions = { read: (request) => readOnMember(control, request) };
    const otherMemberIds = memberIds.filter((hostId) => hostId !== settings.hostId);
    const read = (submissionId?: string) =>
      readControl(control, parts.peers, otherMemberIds, {
        timeoutMs: readTimeoutMs,
        ...(submissionId === undefined ? {} : { submissionId }),
      });
    parts.adminRoutes.push((app) =>
      registerSubmissionRoutes(app, {
        readDocument: () => read().map(({ document }) => document),
        readOutcome: (submissionId) => read(submissionId).map(({ outcome }) => outcome),
        submit: (submission) => commitSubmission(context, control, submission),
      }),
    );
    return okAsync({
      name: 'submissions',
      stopSteps: {},
      status: () => ({
        version: machine.documents.currentVersion(),
        shiftRevision: machine.shifts.revision,
      }),
    });
  },
};
