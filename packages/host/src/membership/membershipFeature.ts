import type { MemberMessage } from '@buckthornlug/core/membership/membershipTypes.js';

import { Result } from 'neverthrow';

import type { Feature, HostParts } from '../runtime/hostParts.js';
import { openDatagrams, type Datagrams } from '../rpc/datagrams.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { registerHostsRoutes } from './hostsRoutes.js';
import { memberMessageSchema } from './membershipSchema.js';
import { startMembershipTask, type MembershipTask, type SendMessage } from './membershipTask.js';

const parseJson = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  () => 'not JSON',
);

/**
 * Sends messages as datagrams, or as procedure calls if a message is too large for a datagram or the
 * settings override the address of its receiver.
 */
function createSendMessage(
  context: HostContext,
  parts: HostParts,
  datagrams: Datagrams,
): SendMessage {
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

/** Passes messages received as datagrams to the task. */
function receiveDatagrams(datagrams: Datagrams, task: MembershipTask): void {
  datagrams.receive('membership', (content) => {
    const message = memberMessageSchema.safeParse(parseJson(content).unwrapOr(undefined));
    if (message.success) task.receive(message.data);
  });
}

/**
 * Reports the versions of the control group's state that this host holds to the membership.
 *
 * @returns a function that ends the reports
 */
function trackOwnVersions(parts: HostParts, task: MembershipTask): () => void {
  const setVersions = () => {
    task.setVersions({
      documentVersion: parts.document.current()?.version ?? 0,
      shiftRevision: parts.shiftSteps.table.revision,
    });
  };
  setVersions();
  const unsubscribes = [
    parts.document.onChange(setVersions),
    parts.shiftSteps.onChange(setVersions),
  ];
  return () => {
    for (const unsubscribe of unsubscribes) unsubscribe();
  };
}

/** Membership: the state of each host and the versions that it holds. */
export const membershipFeature: Feature = {
  name: 'membership',
  isEnabled: () => true,
  start: (context, parts) =>
    openSocket(context).map((datagrams) => {
      const task = startMembershipTask(context, createSendMessage(context, parts, datagrams));
      receiveDatagrams(datagrams, task);
      parts.provide({ membership: task.view, membershipTask: task, datagrams });
      const { rpcHandlers } = parts;
      rpcHandlers.membership = { deliver: task.deliver };
      const unsubscribeVersions = trackOwnVersions(parts, task);
      parts.adminRoutes.push((app) => registerHostsRoutes(app, task.view));
      return {
        name: 'membership',
        stopSteps: {
          leaveLookups: () => task.leave('leaving'),
          closeTasks: async () => {
            unsubscribeVersions();
            await task.leave('left');
            task.close();
            await datagrams.close();
          },
        },
      };
    }),
};
