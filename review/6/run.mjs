import { setTimeout as delay } from 'node:timers/promises';

import { Clients } from '../harness-2/clients.mjs';
import { desiredState, runCase } from '../harness-2/fleet.mjs';
import { Worker } from '../harness-2/server.mjs';

/** A worker in trouble spoils the number in the `Keep-Alive` field of some answers. */

/** One answer in fifty is spoilt, as with the dose of `garble`. */
const answersPerSpoiltOne = 50;
const troubleMs = 5500;
const spoiltDigits = 400;
const workerCount = 3;
/** Most answers that the rule allows to be missing. */
const allowedLosses = 3;

await runCase(import.meta.url, async (fleet, hasTrouble) => {
  let isInTrouble = false;
  let answers = 0;
  const answerBadly = (worker, request, response) => {
    answers += 1;
    if (!isInTrouble || answers % answersPerSpoiltOne !== 0) {
      worker.answerSoundly(request, response);
      return;
    }
    fleet.record('spoilt answer', { attemptId: request.headers['x-attempt-id'] });
    const timeout = '9'.repeat(spoiltDigits);
    const fields = { Connection: 'keep-alive', 'Keep-Alive': `timeout=${timeout}` };
    response.writeHead(200, { ...worker.soundFields(request), ...fields });
    response.end(`answer to ${request.headers['x-attempt-id']}`);
  };
  const workers = Array.from({ length: workerCount }, (_, index) => {
    const answer = index === 0 ? answerBadly : undefined;
    const workMs = 200;
    return new Worker(fleet, { id: `i-${index}`, service: 'desk', index, workMs, answer });
  });
  const services = ['desk'];
  const routes = [
    { name: 'reads', pathPrefix: '/reads/', type: 'safe', service: 'desk' },
    { name: 'orders', pathPrefix: '/orders/', type: 'unsafe', service: 'desk' },
  ];
  await fleet.order('/api/Config.Replace', desiredState(1, { routes, services }));
  await Promise.all(workers.map((worker) => worker.start()));
  await Promise.all(fleet.entries.map((_, index) => fleet.waitUntilReady(index)));

  const clients = new Clients(fleet);
  for (const index of fleet.entries.keys()) {
    const address = fleet.frontAddress(index);
    clients.start({ address, clients: 4, method: 'GET', path: '/reads/' });
    clients.start({ address, clients: 4, method: 'POST', path: '/orders/' });
  }
  await delay(6000);
  isInTrouble = hasTrouble;
  await delay(troubleMs);
  isInTrouble = false;
  await delay(3000);
  await clients.stop();

  const soundRuns = new Set(
    workers.slice(1).flatMap(({ runs }) => runs.map(({ attemptId }) => attemptId)),
  );
  const lost = clients.attempts.filter(
    ({ attemptId, status, isReused }) =>
      status === undefined && isReused === true && soundRuns.has(attemptId),
  );
  for (const { attemptId, method, address, sentAtMs, endedAtMs, error } of lost) {
    fleet.record('lost', { attemptId, method, address, afterMs: endedAtMs - sentAtMs, error });
  }
  const served = clients.attempts.filter(({ status }) => status === 200).length;
  const ends = Object.fromEntries(fleet.entries.map(({ name, ownEnds }) => [name, ownEnds]));
  const sent = clients.attempts.length;
  fleet.record('totals', { sent, served, lostAtSoundWorkers: lost.length, endsByItself: ends });
  if (served < 200) throw new Error('too few requests were served to judge');
  return lost.length > allowedLosses;
});
