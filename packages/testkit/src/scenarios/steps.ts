import { setTimeout as delay } from 'node:timers/promises';

import { callerAddress } from './scenarioDocument.js';
import { startCallGroup } from './callGroup.js';
import { awaitExpectation } from './expectations.js';
import type { ScenarioBackend } from './scenarioFleet.js';
import type { ScenarioStep, StepOf } from './scenarioSchema.js';
import type { ScenarioState } from './scenarioState.js';
import { submitChanges } from './submitChange.js';

/** Runs one step; throws where the step cannot be done or its expectation fails. */
type StepRunner<Name extends ScenarioStep['do']> = (
  state: ScenarioState,
  step: StepOf<Name>,
) => Promise<void>;

async function start(state: ScenarioState, step: StepOf<'start'>): Promise<void> {
  const hostIds = step.hosts ?? [...state.fleet.settings.keys()];
  await Promise.all(hostIds.map((hostId) => state.fleet.start(hostId)));
}

async function announce(state: ScenarioState, step: StepOf<'announce'>): Promise<void> {
  await state.fleet.announce(step.backends, state.scenario.seed);
}

/** Callers listeners in the order in which a caller of a zone tries them. */
function callerHosts(state: ScenarioState, zone: string) {
  const settings = [...state.fleet.settings.values()];
  const near = settings.filter((host) => host.availabilityZone === zone);
  const far = settings.filter((host) => host.availabilityZone !== zone);
  return [near, far];
}

async function call(state: ScenarioState, step: StepOf<'call'>): Promise<void> {
  const [near = [], far = []] = callerHosts(state, step.zone);
  const hosts = step.resend ? [...near, ...far] : near;
  const endpoints = hosts.map((host) => host.listen.callers);
  const localAddress = callerAddress(state.scenario, step.callersOf ?? step.zone);
  state.callGroups.set(
    step.name,
    startCallGroup(step, endpoints, localAddress, state.scenario.seed),
  );
}

async function changeHost(
  state: ScenarioState,
  step: StepOf<'kill' | 'stop' | 'pause' | 'resume' | 'restart'>,
): Promise<void> {
  const { fleet } = state;
  const host = fleet.hosts.get(step.host);
  if (step.do === 'restart') {
    if (host !== undefined && !host.ended()) await host.kill();
    if (step.emptyDisk) await fleet.emptyDisk(step.host);
    await fleet.start(step.host);
    return;
  }
  if (host === undefined) throw new Error(`host "${step.host}" does not run`);
  if (step.do === 'pause') host.pause();
  if (step.do === 'resume') host.resume();
  if (step.do === 'kill') await host.kill();
  if (step.do === 'stop') state.exitStatuses.set(step.host, await host.stop());
  if (host.ended()) fleet.hosts.delete(step.host);
}

const backendChanges = {
  drainBackend: 'draining',
  leaveBackend: 'leaving',
  muteBackend: 'muted',
  killBackend: undefined,
} as const;

async function changeBackend(entry: ScenarioBackend, action: keyof typeof backendChanges) {
  const changed = entry;
  changed.changedAtMs = performance.now();
  const change = backendChanges[action];
  if (change !== undefined) changed.change = change;
  if (action === 'muteBackend') entry.backend.behave({ announces: false });
  else if (action === 'killBackend') {
    changed.gone = true;
    await entry.backend.kill();
  } else await entry.backend.setState(change === 'draining' ? 'draining' : 'leaving');
}

async function backend(
  state: ScenarioState,
  step: StepOf<keyof typeof backendChanges>,
): Promise<void> {
  const fitting = state.fleet.backends.filter(
    (entry) =>
      entry.service === step.service &&
      entry.zone === step.zone &&
      entry.changedAtMs === undefined &&
      !entry.gone,
  );
  if (fitting.length < step.count) throw new Error('too few backend servers are left');
  for (const entry of fitting.slice(0, step.count)) await changeBackend(entry, step.do);
}

async function behave(state: ScenarioState, step: StepOf<'behave'>): Promise<void> {
  const { answerFault, faultShare, statedInFlight } = step;
  const change = {
    answerFault,
    faultShare,
    ...(statedInFlight === undefined ? {} : { statedInFlight }),
  };
  const fitting = state.fleet.backends.filter(
    (entry) => entry.service === step.service && entry.zone === step.zone && !entry.gone,
  );
  if (fitting.length < step.count) throw new Error('too few backend servers are left');
  for (const entry of fitting.slice(0, step.count)) entry.backend.behave(change);
}

async function link(state: ScenarioState, step: StepOf<'cut' | 'heal'>): Promise<void> {
  const isCut = step.do === 'cut';
  state.fleet.setLink(step.from, step.to, isCut);
  if (step.bothWays) state.fleet.setLink(step.to, step.from, isCut);
}

async function join(state: ScenarioState, step: StepOf<'join'>): Promise<void> {
  await state.callGroups.get(step.name)?.done;
}

async function expect(state: ScenarioState, step: StepOf<'expect'>): Promise<void> {
  const finding = await awaitExpectation(state, step);
  if (!finding.holds) throw new Error(`${JSON.stringify(step.that)}: ${finding.seen}`);
}

const runners: { readonly [Name in ScenarioStep['do']]: StepRunner<Name> } = {
  start,
  announce,
  submit: submitChanges,
  call,
  kill: changeHost,
  stop: changeHost,
  pause: changeHost,
  resume: changeHost,
  restart: changeHost,
  killBackend: backend,
  drainBackend: backend,
  leaveBackend: backend,
  muteBackend: backend,
  behave,
  cut: link,
  heal: link,
  wait: (_state, step) => delay(step.ms),
  join,
  expect,
};

/**
 * Runs one step of a scenario.
 *
 * @param state - running scenario
 * @param step - step
 */
export async function runStep(state: ScenarioState, step: ScenarioStep): Promise<void> {
  const runner = runners[step.do] as StepRunner<typeof step.do>;
  await runner(state, step);
}
