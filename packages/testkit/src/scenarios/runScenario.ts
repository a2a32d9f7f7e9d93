import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';

import { createScenarioFleet } from './scenarioFleet.js';
import type { Scenario } from './scenarioSchema.js';
import type { ScenarioState } from './scenarioState.js';
import { runStep } from './steps.js';

const keptLogLines = 15;

/** Why a scenario failed: the step, what was seen, and the last log lines of each host. */
export class ScenarioFailure extends Error {
  override readonly name = 'ScenarioFailure';
}

function describeFailure(state: ScenarioState, stepNumber: number, error: unknown): string {
  const step = state.scenario.steps[stepNumber];
  const lines = [`step ${stepNumber} (${step?.do}): ${String(error)}`];
  for (const host of state.fleet.hosts.values()) {
    lines.push(`--- ${host.settings.hostId}`, ...host.logLines.slice(-keptLogLines));
  }
  return lines.join('\n');
}

/**
 * Runs a scenario with real processes on loopback.
 *
 * @param scenario - checked scenario
 * @throws ScenarioFailure where a step cannot be done or an expectation does not hold in time
 */
export async function runScenario(scenario: Scenario): Promise<void> {
  const workFolder = await mkdtemp(`${tmpdir()}/buckthornlug-`);
  const fleet = await createScenarioFleet(scenario, workFolder);
  const state: ScenarioState = {
    scenario,
    fleet,
    callGroups: new Map(),
    bases: [],
    exitStatuses: new Map(),
    lastAcceptedVersion: 0,
    submissions: 0,
  };
  try {
    for (const [stepNumber, step] of scenario.steps.entries()) {
      await runStep(state, step).catch((error: unknown) => {
        throw new ScenarioFailure(describeFailure(state, stepNumber, error));
      });
    }
  } finally {
    await fleet.stop();
    await rm(workFolder, { recursive: true, force: true });
  }
}
