import { readdirSync, readFileSync } from 'node:fs';

import test from 'ava';

import { runScenario } from './runScenario.js';
import { scenarioSchema } from './scenarioSchema.js';

const folder = new URL('../../scenarios/', import.meta.url);
const names = readdirSync(folder)
  .filter((name) => name.endsWith('.json'))
  .sort();

for (const name of names) {
  const value: unknown = JSON.parse(readFileSync(new URL(name, folder), 'utf8'));
  const scenario = scenarioSchema.parse(value);
  test.serial(scenario.title, async (t) => {
    t.timeout(120_000);
    await t.notThrowsAsync(() => runScenario(scenario));
  });
}
