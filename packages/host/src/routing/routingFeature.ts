import { failure } from '@buckthornlug/protocol/results/failure.js';
import { errAsync, okAsync } from 'neverthrow';

import { RegistryTask } from '../registry/registryTask.js';
import type { Feature } from '../runtime/hostParts.js';
import { createRoutingCommands } from './routingCommands.js';
import { RoutingServer } from './routingServer.js';

/** Serves routing documents, evacuations and backend registrations, on control hosts. */
export const routingFeature: Feature = {
  name: 'routing',
  isEnabled: ({ roles, routing }) => roles.includes('control') && routing !== undefined,
  start: (context, parts) => {
    const { control } = parts;
    const { routing } = context.settings;
    if (control === undefined || routing === undefined) {
      return errAsync(failure('BL5005', 'routing needs the control group'));
    }
    const { machine } = control;
    const { wallMs } = context.clock;
    const server = new RoutingServer({ machine, leaderSilentMs: control.leaderSilentMs, wallMs });
    const registry = new RegistryTask(context, parts, control, routing.reportIntervalMs);
    const unsubscribe = control.onChange(() => server.changed());
    parts.rpcHandlers.routing = {
      poll: (poll) => server.poll(poll),
      heard: (ages) => registry.recordForwardedReports(ages),
      leaving: (backend) => registry.drainLeaving(backend),
    };
    parts.provide({
      routingCommands: createRoutingCommands(context, control),
      reportBackend: (report) => registry.report(report),
      removeBackend: (backendId, bornAtMs) => registry.removeBackend(backendId, bornAtMs),
    });
    return okAsync({
      name: 'routing',
      stopSteps: {
        closeTasks: () => {
          unsubscribe();
          registry.stop();
          server.close();
          return Promise.resolve();
        },
      },
      status: () => ({
        routingVersion: machine.routing.version(),
        registryRevision: machine.registry.revision(),
      }),
    });
  },
};
