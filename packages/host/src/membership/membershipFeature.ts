import type { MemberMessage } from '@buckthornlug/core/membership/membershipTypes.js';
import { okAsync } from 'neverthrow';

import type { Feature, HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { registerHostsRoutes } from './hostsRoutes.js';
import { startMembershipTask, type PostMessage } from './membershipTask.js';

/** Carries messages as procedure calls; a message that gets no answer is lost. */
function createPost(context: HostContext, parts: HostParts): PostMessage {
  const timeoutMs = context.settings.timing.rpcTimeoutMs;
  return async (message: MemberMessage) => {
    const answers = await parts.peers.request(
      message.to,
      (client, signal) => client.membership.deliver.mutate(message, { signal }),
      timeoutMs,
    );
    return answers.unwrapOr([]);
  };
}

/** Who is alive, and what version of the document each host has. */
export const membershipFeature: Feature = {
  name: 'membership',
  wanted: () => true,
  start: (context, parts) => {
    const task = startMembershipTask(context, createPost(context, parts));
    const shared = parts;
    shared.membership = task.view;
    shared.rpcHandlers.membership = { deliver: task.deliver };
    const inForce = parts.document.current();
    if (inForce !== undefined) task.setDocumentVersion(inForce.version);
    const endUpdates = parts.document.onChange((next) => task.setDocumentVersion(next.version));
    parts.adminRoutes.push((app) => registerHostsRoutes(app, task.view));
    return okAsync({
      name: 'membership',
      stopSteps: {
        leaveLookups: () => task.leave('leaving'),
        closeTasks: async () => {
          endUpdates();
          await task.leave('left');
          task.close();
        },
      },
    });
  },
};
