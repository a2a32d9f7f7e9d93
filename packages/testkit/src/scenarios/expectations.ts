import { setTimeout as delay } from 'node:timers/promises';

import { createAdminClient } from '@buckthornlug/cli/api/adminClient.js';
import { statusReplySchema } from '@buckthornlug/protocol/admin/adminSchema.js';
import { timelineEventSchema } from '@buckthornlug/protocol/events/eventSchema.js';
import { z } from 'zod';

import type { CallFigures } from './callGroup.js';
import type { ScenarioState } from './scenarioState.js';
import type { Expectation, StepOf } from './scenarioSchema.js';

const pollMs = 50;

/** Result of looking at an expectation once. */
export interface Finding {
  readonly holds: boolean;
  readonly seen: string;
}

type ExpectationOf<Key extends string> = Extract<Expectation, Record<Key, unknown>>;

function startedRuns(state: ScenarioState, identity: string): number {
  let runs = 0;
  for (const { backend } of state.fleet.backends) runs += backend.executions().get(identity) ?? 0;
  return runs;
}

function figureOf(
  state: ScenarioState,
  figures: CallFigures,
  name: ExpectationOf<'figure'>['figure'],
): number {
  if (name === 'inTargetPermille') return (1000 * figures.inTarget) / Math.max(1, figures.sent);
  if (name === 'doubleRuns') {
    const identities = new Set([...figures.truthOf.keys(), ...figures.answeredIdentities]);
    return [...identities].filter((identity) => startedRuns(state, identity) > 1).length;
  }
  if (name === 'falseNotRun') {
    const claimed = [...figures.truthOf].filter(([, truth]) => truth === 'notRun');
    return claimed.filter(
      ([identity]) => !figures.answeredIdentities.has(identity) && startedRuns(state, identity) > 0,
    ).length;
  }
  return figures[name];
}

function lookAtCalls(state: ScenarioState, wanted: ExpectationOf<'figure'>): Finding {
  const group = state.callGroups.get(wanted.calls);
  if (group === undefined) return { holds: false, seen: `no calls named "${wanted.calls}"` };
  const figure = figureOf(state, group.figures, wanted.figure);
  const holds =
    figure >= (wanted.atLeast ?? Number.NEGATIVE_INFINITY) &&
    figure <= (wanted.atMost ?? Number.POSITIVE_INFINITY);
  const codes = [...group.figures.codes].map(([code, count]) => `${code}=${count}`).join(' ');
  const { sent, answered, refused, broken } = group.figures;
  const seen = `${wanted.figure}=${figure} sent=${sent} answered=${answered} refused=${refused} broken=${broken} ${codes}`;
  return { holds, seen };
}

function adminAddress(state: ScenarioState, hostId: string): string {
  const admin = state.fleet.settings.get(hostId)?.listen.admin;
  return `http://${admin?.address}:${admin?.port}`;
}

async function lookAtInForce(
  state: ScenarioState,
  wanted: ExpectationOf<'inForce'>,
): Promise<Finding> {
  const hostIds = wanted.hosts ?? [...state.fleet.hosts.keys()];
  const seen: string[] = [];
  let holds = true;
  for (const hostId of hostIds) {
    const answer = await createAdminClient([adminAddress(state, hostId)]).get('/v1/status');
    const version = answer.isOk() ? statusReplySchema.parse(answer.value).documentVersion : -1;
    if (version < state.lastAcceptedVersion) holds = false;
    seen.push(`${hostId}=${version}`);
  }
  return { holds, seen: `accepted ${state.lastAcceptedVersion}, in force ${seen.join(' ')}` };
}

const timelineSchema = z.object({ events: z.array(timelineEventSchema) });

async function lookAtEvents(
  state: ScenarioState,
  wanted: ExpectationOf<'event'>,
): Promise<Finding> {
  const query = new URLSearchParams({ kind: wanted.event, limit: '100000' });
  if (wanted.host !== undefined) query.set('host', wanted.host);
  if (wanted.service !== undefined) query.set('service', wanted.service);
  const live = [...state.fleet.hosts.values()].filter((host) => !host.ended());
  const addresses = live.map((host) => adminAddress(state, host.settings.hostId));
  const answer = await createAdminClient(addresses).get(`/v1/timeline?${query}`);
  if (answer.isErr()) return { holds: false, seen: answer.error.detail };
  const count = timelineSchema.parse(answer.value).events.length;
  return { holds: count >= wanted.atLeast, seen: `${count} events ${wanted.event}` };
}

function lookAtNewCalls(state: ScenarioState, wanted: ExpectationOf<'newCallsOn'>): Finding {
  let late = 0;
  let changed = 0;
  for (const entry of state.fleet.backends) {
    const { service, zone } = wanted.newCallsOn;
    if (entry.service !== service || entry.zone !== zone) continue;
    if (entry.change !== wanted.state || entry.changedAtMs === undefined) continue;
    changed += 1;
    const boundMs = entry.changedAtMs + wanted.sinceMs;
    late += entry.backend.executionLog().filter((run) => run.atMs > boundMs).length;
  }
  return {
    holds: changed > 0 && late <= wanted.atMost,
    seen: `${late} late calls, ${changed} servers`,
  };
}

function lookAtShed(state: ScenarioState, wanted: ExpectationOf<'shedOn'>): Finding {
  let shed = 0;
  for (const { service, backend } of state.fleet.backends) {
    if (service === wanted.shedOn) shed += backend.counts().shed;
  }
  return { holds: shed <= wanted.atMost, seen: `${shed} calls shed` };
}

/** Largest number of times that fall within one window of time. */
function busiestWindow(sortedMs: readonly number[], windowMs: number): number {
  let most = 0;
  let first = 0;
  for (const [index, atMs] of sortedMs.entries()) {
    while (atMs - (sortedMs[first] ?? atMs) >= windowMs) first += 1;
    most = Math.max(most, index - first + 1);
  }
  return most;
}

function lookAtBusiestSecond(
  state: ScenarioState,
  wanted: ExpectationOf<'busiestSecondOn'>,
): Finding {
  const { service, zones } = wanted.busiestSecondOn;
  const startedMs = state.fleet.backends
    .filter((entry) => entry.service === service && zones.includes(entry.zone))
    .flatMap((entry) => entry.backend.executionLog().map((run) => run.atMs))
    .sort((left, right) => left - right);
  const most = busiestWindow(startedMs, 1000);
  const holds = most <= wanted.atMost && most >= wanted.atLeast;
  return { holds, seen: `${most} calls in the busiest second, ${startedMs.length} in all` };
}

function lookAtExit(state: ScenarioState, wanted: ExpectationOf<'exitStatus'>): Finding {
  const status = state.exitStatuses.get(wanted.host);
  return { holds: status === wanted.exitStatus, seen: `exit status ${status}` };
}

async function lookOnce(state: ScenarioState, wanted: Expectation): Promise<Finding> {
  if ('figure' in wanted) return lookAtCalls(state, wanted);
  if ('inForce' in wanted) return lookAtInForce(state, wanted);
  if ('event' in wanted) return lookAtEvents(state, wanted);
  if ('newCallsOn' in wanted) return lookAtNewCalls(state, wanted);
  if ('shedOn' in wanted) return lookAtShed(state, wanted);
  if ('busiestSecondOn' in wanted) return lookAtBusiestSecond(state, wanted);
  return lookAtExit(state, wanted);
}

/**
 * Waits until an expectation holds or its time is over.
 *
 * @param state - running scenario
 * @param step - expectation and its bound in time
 * @returns the last finding
 */
export async function awaitExpectation(
  state: ScenarioState,
  step: StepOf<'expect'>,
): Promise<Finding> {
  const endMs = performance.now() + step.withinMs;
  for (;;) {
    const finding = await lookOnce(state, step.that);
    if (finding.holds || performance.now() >= endMs) return finding;
    await delay(pollMs);
  }
}
