/* global performance */
import { setTimeout as delay } from 'node:timers/promises';

import { runCase } from '../harness/fleet.js';
import { call, configuration, Operator, waitUntilServed, Worker } from '../harness/standIns.js';

/**
 * A control process freezes for 4 s. The operator's order to end an evacuation goes there first, gets
 * no answer within a second, and is acknowledged by another process. Then the zone is evacuated again.
 */

const freezeMs = 4000;
const evacuationDeadlineMs = 5000;
const contactMs = 4000;
const judgedMs = 5000;

await runCase(import.meta.url, async (fleet, hasTrouble) => {
  await fleet.start({ controls: 3, entries: 1 });
  const [entry] = fleet.entries;
  const [second, first, third] = fleet.controls;
  const near = new Worker(fleet, { id: 'i-near', host: 70, zone: entry.zone });
  const far = new Worker(fleet, { id: 'i-far', host: 71, zone: third.zone });
  await near.start();
  await far.start();
  const operator = new Operator(fleet);
  await operator.configure(configuration(1));
  await waitUntilServed(fleet, entry);
  await delay(contactMs);

  const zone = encodeURIComponent(entry.zone);
  const others = [second, third];
  await operator.order(`/api/Evacuations.Start/${zone}`, { hosts: others });
  await delay(2000);
  const frozenAtMs = performance.now();
  if (hasTrouble) {
    first.signal('SIGSTOP');
    fleet.record(`${first.name} is frozen`);
  }
  await operator.order(`/api/Evacuations.End/${zone}`, { hosts: [first, ...others] });
  await delay(500);
  const isAcknowledged = await operator.order(`/api/Evacuations.Start/${zone}`, { hosts: others });
  const acknowledgedAtMs = performance.now();
  if (!isAcknowledged) throw new Error('the second evacuation was not acknowledged');
  if (hasTrouble && acknowledgedAtMs > frozenAtMs + freezeMs) throw new Error('too late an ack');
  await delay(frozenAtMs + freezeMs - performance.now());
  if (hasTrouble) {
    first.signal('SIGCONT');
    fleet.record(`${first.name} runs again`);
  }
  const wokenAtMs = performance.now();

  // The rule holds from its deadline on, for requests of machines in touch.
  const judgedFromMs =
    Math.max(acknowledgedAtMs + evacuationDeadlineMs, wokenAtMs + contactMs) + 500;
  await delay(judgedFromMs - performance.now());
  const runsBefore = near.runs.length;
  fleet.record('requests from here on are judged');
  for (let index = 0; performance.now() < judgedFromMs + judgedMs; index += 1) {
    await call(fleet, entry, `read-${index}`);
    await delay(100);
  }
  const runs = near.runs.length - runsBefore;
  if (runs === 0) return [];
  return [`EVAC: ${runs} requests reached a worker of ${entry.zone}, whose evacuation is in force`];
});
