import type { Server } from 'node:http';

import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';

import { features as allFeatures } from '../features.js';
import { createLog, type Log } from '../log/log.js';
import { createLineWriter } from '../log/standardOutput.js';
import { createMetrics } from '../metrics/metrics.js';
import { createAppRouter } from '../rpc/appRouter.js';
import { createInternalServer } from '../rpc/internalListener.js';
import { createTimelineRecorder } from '../timeline/timelineRecorder.js';
import { observeEventLoopDelay } from './eventLoopDelay.js';
import type { Feature, HostParts } from './hostParts.js';
import type {
  Clock,
  DocumentInForce,
  HostContext,
  Random,
  RecordEvent,
  StopPhase,
} from './hostTypes.js';
import { createInitialParts } from './initialParts.js';
import { closeServer, listen } from './listen.js';
import { createProcessClock } from './processClock.js';

const stopPhases: readonly StopPhase[] = [
  'leaveLookups',
  'finishCalls',
  'handOver',
  'closeTasks',
  'closeListeners',
];

/** Replacements for parts of a host. */
export interface HostOverrides {
  readonly clock?: Clock;
  readonly random?: Random;
  readonly log?: Log;
  readonly record?: RecordEvent;
  readonly writeLogLine?: (line: string) => void;
  /** Document in force from the start. */
  readonly document?: DocumentInForce;
  readonly features?: readonly Feature[];
}

/** A host that accepts requests. */
export interface RunningHost {
  readonly context: HostContext;
  readonly parts: HostParts;
  /** Stops gracefully: runs the stop steps of all features, phase by phase. */
  readonly stop: () => Promise<void>;
}

function createContext(settings: Settings, overrides: HostOverrides): HostContext {
  const clock = overrides.clock ?? createProcessClock();
  const incarnation = clock.wallMs();
  const { hostId, availabilityZone, limits } = settings;
  const timeline = createTimelineRecorder(
    { hostId, availabilityZone, incarnation },
    limits.maxTimelineEvents,
    clock.wallMs,
  );
  const write = overrides.writeLogLine ?? createLineWriter().write;
  const logBounds = { linesPerS: limits.maxLogLinesPerS, nowMs: clock.nowMs };
  const log = overrides.log ?? createLog(settings.hostId, settings.logLevel, write, logBounds);
  clock.onBreak?.((_nowMs, partingMs) => {
    log.warn('clocksParted', { partingMs: Math.round(partingMs) });
  });
  return {
    settings,
    incarnation,
    clock,
    random: overrides.random ?? Math.random,
    log,
    record: overrides.record ?? timeline.record,
    timeline,
    metrics: createMetrics(),
  };
}

async function runStopPhase(host: RunningHost, phase: StopPhase): Promise<void> {
  const steps = [...host.parts.running].reverse().map(async (feature) => {
    await feature.stopSteps[phase]?.();
  });
  const results = await Promise.allSettled(steps);
  for (const result of results) {
    if (result.status === 'rejected') {
      host.context.log.error('stopStepFailed', { phase, problem: String(result.reason) });
    }
  }
}

async function stopHost(host: RunningHost, internal: Server): Promise<void> {
  const { context, parts } = host;
  context.log.info('hostStopping');
  context.record({ kind: 'hostStopping' });
  for (const phase of stopPhases) {
    await runStopPhase(host, phase);
    context.log.debug('stopPhaseDone', { phase });
  }
  await parts.peers.close();
  internal.closeAllConnections();
  await closeServer(internal);
  context.record({ kind: 'hostStopped' });
  context.log.info('hostStopped');
}

async function startFeatures(
  host: RunningHost,
  enabledFeatures: readonly Feature[],
): Promise<Failure | null> {
  for (const feature of enabledFeatures) {
    const started = await feature.start(host.context, host.parts);
    if (started.isErr()) return started.error;
    host.parts.running.push(started.value);
  }
  return null;
}

function stopAfterFailedStart(host: RunningHost, problem: Failure): ResultAsync<never, Failure> {
  return ResultAsync.fromSafePromise(host.stop()).andThen(() => errAsync(problem));
}

/**
 * Starts a host in this process.
 *
 * @param settings - checked settings
 * @param overrides - parts to replace
 * @returns the running host; BL1004 where a listener cannot bind, or the failure of a feature
 */
export function startHost(
  settings: Settings,
  overrides: HostOverrides = {},
): ResultAsync<RunningHost, Failure> {
  const context = createContext(settings, overrides);
  const parts = createInitialParts(context, overrides.document);
  const internal = createInternalServer({
    router: createAppRouter(parts.rpcHandlers),
    auth: parts.auth,
    onKeyRefused: ({ code, detail }) => {
      context.record({ kind: 'keyRefused', code, detail: { problem: detail } });
      context.log.warn('keyRefused', { code, detail });
    },
    maxHeadBytes: settings.limits.maxHeadBytes,
    forwardedCalls: () => parts.forwardedCalls,
    timeline: context.timeline,
  });
  const endDelayObservation = observeEventLoopDelay(context);
  let stopped: Promise<void> | undefined;
  const host: RunningHost = {
    context,
    parts,
    stop: () => {
      stopped ??= stopHost(host, internal).finally(endDelayObservation);
      return stopped;
    },
  };
  const enabledFeatures = (overrides.features ?? allFeatures).filter((feature) =>
    feature.isEnabled(settings),
  );
  return listen(internal, settings.listen.internal)
    .map(() => startFeatures(host, enabledFeatures))
    .andThen((problem) => {
      if (problem === null) return okAsync(undefined);
      return errAsync(problem);
    })
    .orElse((problem) => {
      context.log.error('startFailed', { code: problem.code, detail: problem.detail });
      return stopAfterFailedStart(host, problem);
    })
    .map(() => {
      context.log.info('hostStarted', { incarnation: context.incarnation });
      context.record({ kind: 'hostStarted' });
      return host;
    });
}
