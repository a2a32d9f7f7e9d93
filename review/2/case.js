/* global performance */
import { setTimeout as delay } from 'node:timers/promises';

import { runCase } from '../harness/fleet.js';
import { configuration, Operator, send } from '../harness/standIns.js';

/**
 * The three core machines are replaced in turn, as planned: the new one starts first, and the old one
 * gets SIGTERM 8 s later. Then the operator reads back the desired state that was acknowledged.
 */

const graceMs = 6000;
/** Time that the new machine has before the old one is stopped; twice `catchUp`. */
const joinMs = 8000;
/** Time between the end of an old machine and the next replacement; more than `catchUp`. */
const settleMs = 6000;
/** `recovery` is 15 s; the read is tried for twice as long. */
const readForMs = 30_000;

/** Reads the desired state from one control process after another; undefined if none gives it. */
async function readBack(fleet) {
  const endAtMs = performance.now() + readForMs;
  for (let attempt = 0; performance.now() < endAtMs; attempt += 1) {
    const host = fleet.controls[attempt % fleet.controls.length];
    const target = host.address('control');
    const answer = await send(target, { path: '/api/Config.Get', timeoutMs: 4000 });
    fleet.record(
      `operator: GET /api/Config.Get at ${host.name}: ${answer.problem ?? answer.status}`,
    );
    if (answer.status === 200) return answer.body;
    await delay(250);
  }
  return undefined;
}

await runCase(import.meta.url, async (fleet, hasTrouble) => {
  await fleet.start({ controls: 3, entries: 1 });
  const operator = new Operator(fleet);
  const acknowledged = configuration(1);
  if (!(await operator.configure(acknowledged)))
    throw new Error('the first version was not acknowledged');
  await delay(4000);
  for (const [index, old] of [...fleet.controls].entries()) {
    if (!hasTrouble) break;
    await fleet.addControl(3 + index);
    await delay(joinMs);
    await fleet.removeControl(old, graceMs);
    await delay(settleMs);
  }
  const read = await readBack(fleet);
  if (read === acknowledged) return [];
  return [
    'CONFIG: version 1 was acknowledged, and is not read back from three sound core machines',
  ];
});
