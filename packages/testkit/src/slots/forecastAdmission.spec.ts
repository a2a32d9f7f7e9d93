import { callsFeature } from '@buckthornlug/host/calls/callsFeature.js';
import { CallController } from '@buckthornlug/host/calls/callController.js';
import { slotsFeature } from '@buckthornlug/host/slots/slotsFeature.js';
import type { PendingCall } from '@buckthornlug/protocol/steering/placementTypes.js';
import test from 'ava';

import { startCallFleet, until } from '../calls/callFleet.js';
import { createTestDocument, inForce, testService } from '../fakes/testDocument.js';

const document = createTestDocument();
const traffic = document.traffic[testService]!;
/** All other zones are drained, so that a refusal in the own zone is final. */
const singleZoneTraffic = { [testService]: { ...traffic, drainedZones: ['lagos-b', 'abuja-a'] } };
const fleet = await startCallFleet({
  hosts: [{ hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a' }],
  document: inForce({ ...document, traffic: singleZoneTraffic }),
  backendHosts: [0],
  features: [slotsFeature, callsFeature],
});
const { parts, context } = fleet.hosts[0]!;
const aborted = new CallController();
let lastNumber = 0;

test.after.always(fleet.stop);

/** Creates an order whose target lies in the future. */
function createOrder(rank: number): PendingCall {
  const nowMs = context.clock.nowMs();
  lastNumber += 1;
  return {
    requestId: `order-${lastNumber}`,
    service: testService,
    kind: 'order',
    rank,
    execution: 'once',
    arrivedAtMs: nowMs,
    targetAtMs: nowMs + 600,
    deadlineAtMs: nowMs + 2000,
    attempt: 0,
    excluded: [],
    origin: 'caller',
    originRegion: 'lagos',
    signal: aborted,
  };
}

/** Number of slots that the host holds now. */
function heldSlots(): number {
  const status = parts.running.find(({ name }) => name === 'slots')?.status?.();
  const [pool] = (status?.pools ?? []) as { slots: number }[];
  return pool?.slots ?? 0;
}

test('the forecast of a call does not close the pool to later calls once it has ended', async (t) => {
  await until(() => heldSlots() > 0);
  for (const rank of [1, 1, 2, 0]) {
    const forecast = await parts.forecastAdmission(createOrder(rank));
    t.is(forecast.failure, undefined, `rank ${rank}`);
    forecast.end();
  }
});
