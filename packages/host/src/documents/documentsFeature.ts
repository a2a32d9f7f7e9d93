import { setTimeout as delay } from 'node:timers/promises';

import { ControlCopy } from '@buckthornlug/core/spreading/controlCopy.js';
import { ResultAsync } from 'neverthrow';

import { controlGroupId } from '../consensus/controlGroupId.js';
import { findConfiguredMembers } from '../consensus/groupMembers.js';
import type { Feature, HostParts } from '../runtime/hostParts.js';
import type { HostContext, RunningFeature } from '../runtime/hostTypes.js';
import { DocumentStorage } from './documentStorage.js';
import { DocumentsTask } from './documentsTask.js';
import { findBehindHosts, registerVersionsRoutes, type VersionSources } from './versionsRoutes.js';

const initialVersions = { version: 0, shiftRevision: 0 } as const;

/**
 * Applies each commit of the control group if this host is a member; returns a function that
 * unsubscribes.
 */
function followControlGroup(parts: HostParts, task: DocumentsTask): () => void {
  const source = parts.controlState;
  if (source === undefined) return () => undefined;
  task.applyCommitted();
  return source.onChange(() => task.applyCommitted());
}

/**
 * Asks the members of the control group, one after another, for the hosts that have not confirmed a
 * version.
 */
async function askMembersForBehindHosts(
  parts: HostParts,
  members: readonly string[],
  ownHostId: string,
  version: number,
): Promise<readonly string[] | undefined> {
  if (members.includes(ownHostId)) return undefined;
  for (const member of members) {
    const answer = await parts.peers.request(member, (client, signal) =>
      client.documents.behind.query({ version }, { signal }),
    );
    if (answer.isOk()) return answer.value;
  }
  return undefined;
}

async function startDocuments(context: HostContext, parts: HostParts): Promise<RunningFeature> {
  const { settings } = context;
  const copy = new ControlCopy(parts.shiftSteps.table);
  const storage = new DocumentStorage(context, settings.dataFolder, () =>
    copy.updateSince(initialVersions),
  );
  const task = new DocumentsTask(context, parts, copy, () => storage.save());
  const stored = await storage.load();
  parts.provide({ controlSilentMs: () => task.controlSilentMs() });
  const { rpcHandlers } = parts;
  const members = findConfiguredMembers(settings, controlGroupId);
  const sources: VersionSources = {
    membership: () => parts.membership,
    documentVersion: () => parts.document.current()?.version ?? 0,
    running: parts.running,
    expectedHosts: settings.peers.map((peer) => peer.hostId),
    askMembersForBehindHosts: (version) =>
      askMembersForBehindHosts(parts, members, settings.hostId, version),
  };
  rpcHandlers.documents = {
    poll: (fromHostId, poll) => task.answer(fromHostId, poll),
    report: (fromHostId, reports) => task.recordReports(fromHostId, reports),
    behind: (version) => findBehindHosts(sources, version).map((host) => host.hostId),
  };
  if (stored !== undefined) await task.restore(stored);
  const unsubscribeMembership = parts.membership.onChange(() => task.onMembershipChanged());
  const unsubscribeControl = followControlGroup(parts, task);
  parts.adminRoutes.push((app) => registerVersionsRoutes(app, sources));
  const running = task.run();
  return {
    name: 'documents',
    status: () => ({ ...copy.versions() }),
    stopSteps: {
      closeTasks: async () => {
        for (const unsubscribe of [unsubscribeMembership, unsubscribeControl]) unsubscribe();
        task.stop();
        await storage.drain();
        await Promise.race([
          running,
          delay(settings.timing.documentPollMs, undefined, { ref: false }),
        ]);
      },
    },
  };
}

/** Distributes the document and the shift steps from the control group to all hosts. */
export const documentsFeature: Feature = {
  name: 'documents',
  isEnabled: () => true,
  start: (context, parts) => ResultAsync.fromSafePromise(startDocuments(context, parts)),
};
