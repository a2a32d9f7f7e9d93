import { ControlCopy } from '@buckthornlug/core/spreading/controlCopy.js';
import { ResultAsync } from 'neverthrow';

import type { Feature, HostParts } from '../runtime/hostParts.js';
import type { HostContext, RunningFeature } from '../runtime/hostTypes.js';
import { DocumentKeeper } from './documentKeeper.js';
import { DocumentsTask } from './documentsTask.js';
import { registerVersionsRoutes } from './versionsRoutes.js';

const everything = { version: 0, shiftRevision: 0 } as const;

/** Follows the control group once this host turns out to be one of its members. */
function followControlGroup(parts: HostParts, task: DocumentsTask): () => void {
  const source = parts.controlState;
  if (source === undefined) return () => undefined;
  task.takeCommitted();
  return source.onChange(() => task.takeCommitted());
}

async function startDocuments(context: HostContext, parts: HostParts): Promise<RunningFeature> {
  const { settings } = context;
  const copy = new ControlCopy(parts.shiftSteps.table);
  const keeper = new DocumentKeeper(context, settings.dataFolder, () =>
    copy.updateSince(everything),
  );
  const task = new DocumentsTask(context, parts, copy, () => keeper.save());
  const kept = await keeper.load();
  parts.provide({ controlSilentMs: () => task.controlSilentMs() });
  const { rpcHandlers } = parts;
  rpcHandlers.documents = { poll: (fromHostId, poll) => task.answer(fromHostId, poll) };
  if (kept !== undefined) await task.restore(kept);
  const endMembership = parts.membership.onChange(() => task.membershipChanged());
  const endControl = followControlGroup(parts, task);
  parts.adminRoutes.push((app) =>
    registerVersionsRoutes(app, {
      membership: () => parts.membership,
      documentVersion: () => parts.document.current()?.version ?? 0,
      running: parts.running,
      expectedHosts: settings.peers.map((peer) => peer.hostId),
    }),
  );
  const running = task.run();
  return {
    name: 'documents',
    status: () => ({ ...copy.versions() }),
    stopSteps: {
      closeTasks: async () => {
        for (const end of [endMembership, endControl]) end();
        task.stop();
        await keeper.settle();
        await Promise.race([
          running,
          new Promise((resolve) => {
            setTimeout(resolve, settings.timing.documentPollMs).unref();
          }),
        ]);
      },
    },
  };
}

/** The document in force and the steps of shifts, from the control group to every host. */
export const documentsFeature: Feature = {
  name: 'documents',
  wanted: () => true,
  start: (context, parts) => ResultAsync.fromSafePromise(startDocuments(context, parts)),
};
