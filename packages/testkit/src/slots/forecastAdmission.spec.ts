import { callsFeature } from '@buckthornlug/host/calls/callsFeature.js';
import { CallController } from '@buckthornlug/host/calls/callController.js';
import { slotsFeature } from '@buckthornlug/host/slots/slotsFeature.js';
import type { PendingCall } from '@buckthornlug/protocol/steering/placementTypes.js';
import test from 'ava';

import { startCallFleet, until } from '../calls/callFleet.js';
import { createTestDocument, inForce, testService } from '../fakes/testDocument.js';

const document = createTestDocument();
const traffic = document.traffic[testService]!;
/** No other zone takes calls, so that a refusal at home is final. */
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

/** An order of a rank that has its target ahead of it. */
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

/** Slots that the host holds now. */
function heldSlots(): number {
  const status = parts.running.find(({ name }) => name === 'slots')?.status?.();
  const [pool] = (status?.pools ?? []) as { slots: number }[];
  return pool?.slots ?? 0;
}

test('a call that was foreseen does not close the pool to later ones', async (t) => {
  await until(() => heldSlots() > 0);
  for (const rank of [1, 1, 2, 0]) {
    const forecast = await parts.forecastAdmission(createOrder(rank));
    t.is(forecast.failure, undefined, `rank ${rank}`);
    forecast.end();
  }
});
