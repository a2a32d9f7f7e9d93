import { OrderBases } from '@buckthornlug/core/routing/orderBases.js';
import type { ControlMachine } from '@buckthornlug/core/submissions/controlMachine.js';
import { failure } from '@buckthornlug/protocol/results/failure.js';
import { errAsync, okAsync } from 'neverthrow';

import { RegionPlanTask } from '../regionPlan/regionPlanTask.js';
import { setProcessTimer } from '../runtime/timers.js';
import { RegistryTask } from '../registry/registryTask.js';
import type { Feature } from '../runtime/hostParts.js';
import { StateAgeWatch } from './stateAgeWatch.js';
import { createRoutingCommands } from './routingCommands.js';
import { RoutingServer } from './routingServer.js';

const basesIntervalMs = 100;
/** Callers wait for at least a second before they give an order up. */
const orderBasesOptions = { maxGapMs: 400, settleMs: 1000 };

/** Routing state as this host holds it. */
function describeRouting({ routing, registry }: ControlMachine) {
  const evacuated = routing.evacuationRecords().filter(({ isEvacuated }) => isEvacuated);
  return {
    routingVersion: routing.version(),
    registryRevision: registry.revision(),
    evacuatedZones: evacuated.map(({ availabilityZone }) => availabilityZone),
  };
}

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
    const server = new RoutingServer({ machine, stateAgeMs: control.stateAgeMs, wallMs });
    const registry = new RegistryTask(context, parts, control, routing.reportIntervalMs);
    const regionPlan = new RegionPlanTask({ context, parts, control, setTimer: setProcessTimer });
    const bases = new OrderBases(orderBasesOptions, context.clock.nowMs());
    const unsubscribeFromClock = context.clock.onBreak?.((nowMs) => bases.noteBreak(nowMs));
    const stateAge = new StateAgeWatch(context.log, control.stateAgeMs);
    const basesTimer = setInterval(() => {
      stateAge.observe(machine.routing.version());
      const changes = machine.routing.evacuationChanges();
      const gapMs = bases.observe(changes, context.clock.nowMs());
      if (gapMs !== undefined) context.log.warn('processStoodStill', { gapMs });
    }, basesIntervalMs);
    const unsubscribe = control.onChange(() => server.changed());
    parts.rpcHandlers.routing = {
      poll: (poll, takesChanges) => server.poll(poll, takesChanges),
      heard: (ages) => registry.recordForwardedReports(ages),
      leaving: (backend) => registry.drainLeaving(backend),
      demand: (report) => regionPlan.receive(report),
    };
    parts.adminRoutes.push((app) =>
      app.get('/v1/routing', (request) =>
        request.json({ ...describeRouting(machine), ...regionPlan.describe() }),
      ),
    );
    parts.provide({
      routingCommands: createRoutingCommands(context, control, bases),
      reportBackend: (report) => registry.report(report),
      removeBackend: (backendId, bornAtMs) => registry.removeBackend(backendId, bornAtMs),
    });
    return okAsync({
      name: 'routing',
      stopSteps: {
        closeTasks: () => {
          clearInterval(basesTimer);
          unsubscribe();
          unsubscribeFromClock?.();
          registry.stop();
          regionPlan.stop();
          server.close();
          return Promise.resolve();
        },
      },
      status: () => describeRouting(machine),
    });
  },
};
