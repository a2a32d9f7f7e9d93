import type { MemberMessage } from '@buckthornlug/core/membership/membershipTypes.js';

import { Result } from 'neverthrow';

import type { Feature, HostParts } from '../runtime/hostParts.js';
import { openDatagrams, type Datagrams } from '../rpc/datagrams.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { registerHostsRoutes } from './hostsRoutes.js';
import { memberMessageSchema } from './membershipSchema.js';
import { startMembershipTask, type MembershipTask, type PostMessage } from './membershipTask.js';

const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  () => 'no JSON',
);

/**
 * Carries messages as datagrams, and as procedure calls where a message is large or its receiver is
 * reached at another address than its own.
 */
function createPost(context: HostContext, parts: HostParts, datagrams: Datagrams): PostMessage {
  const { settings, metrics } = context;
  const sendByDatagram = (message: MemberMessage): boolean => {
    if (settings.peerAddresses[message.to] !== undefined) return false;
    const endpoint = parts.peers.addressOf(message.to);
    if (endpoint === undefined) return false;
    return datagrams.send(endpoint, 'membership', JSON.stringify(message));
  };
  return async (message) => {
    if (sendByDatagram(message)) return [];
    metrics.count('membership_procedure_calls_total');
    const answers = await parts.peers.request(message.to, (client, signal) =>
      client.membership.deliver.mutate(message, { signal }),
    );
    return answers.unwrapOr([]);
  };
}

function openSocket(context: HostContext) {
  const { settings, metrics } = context;
  return openDatagrams({
    endpoint: settings.listen.internal,
    keys: settings.clusterKeys,
    onKeyRefused: (sender) => {
      metrics.count('membership_keys_refused_total');
      context.record({ kind: 'keyRefused', code: 'BL6001', detail: { sender } });
    },
  });
}

/** Gives the messages that come as datagrams to the task. */
function takeDatagrams(datagrams: Datagrams, task: MembershipTask): void {
  datagrams.receive('membership', (content) => {
    const message = memberMessageSchema.safeParse(parseJson(content).unwrapOr(undefined));
    if (message.success) task.take(message.data);
  });
}

/** Keeps the membership told of what this host holds of the control group's state. */
function reportVersions(parts: HostParts, task: MembershipTask): () => void {
  const report = () => {
    task.setVersions({
      documentVersion: parts.document.current()?.version ?? 0,
      shiftRevision: parts.shiftSteps.table.revision,
    });
  };
  report();
  const ends = [parts.document.onChange(report), parts.shiftSteps.onChange(report)];
  return () => {
    for (const end of ends) end();
  };
}

/** Who is alive, and what version of the document each host has. */
export const membershipFeature: Feature = {
  name: 'membership',
  wanted: () => true,
  start: (context, parts) =>
    openSocket(context).map((datagrams) => {
      const started = startMembershipTask(context, createPost(context, parts, datagrams));
      takeDatagrams(datagrams, started);
      parts.provide({ membership: started.view, membershipTask: started, datagrams });
      const { rpcHandlers } = parts;
      rpcHandlers.membership = { deliver: started.deliver };
      const endReports = reportVersions(parts, started);
      parts.adminRoutes.push((app) => registerHostsRoutes(app, started.view));
      return {
        name: 'membership',
        stopSteps: {
          leaveLookups: () => started.leave('leaving'),
          closeTasks: async () => {
            endReports();
            await started.leave('left');
            started.close();
            await datagrams.close();
          },
        },
      };
    }),
};
