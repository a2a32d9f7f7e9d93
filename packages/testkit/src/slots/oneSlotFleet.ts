import { callsFeature } from '@buckthornlug/host/calls/callsFeature.js';
import { slotsFeature } from '@buckthornlug/host/slots/slotsFeature.js';
import type { ExecutionContext } from 'ava';

import { startCallFleet, until, type CallFleet } from '../calls/callFleet.js';
import { createTestDocument, inForce } from '../fakes/testDocument.js';

/** One host whose pool has one slot, on one backend server. */
export interface OneSlotFleet extends Pick<CallFleet, 'call'> {
  readonly backend: CallFleet['backends'][number];
  /** Free slots of the pool by the status of the host. */
  readonly freeSlots: () => number;
}

/**
 * Starts a host with one slot and waits until it is free; a teardown of the test stops it.
 *
 * @param t - test that uses the fleet
 * @param options - what differs in the test document
 */
export async function startOneSlotFleet(
  t: ExecutionContext,
  options: Parameters<typeof createTestDocument>[0] = {},
): Promise<OneSlotFleet> {
  const fleet = await startCallFleet({
    hosts: [{ hostId: 'a1', region: 'lagos', availabilityZone: 'lagos-a' }],
    document: inForce(createTestDocument(options)),
    backendHosts: [0],
    slots: 1,
    features: [slotsFeature, callsFeature],
  });
  t.teardown(() => fleet.stop());
  const [backend] = fleet.backends;
  const [host] = fleet.hosts;
  const freeSlots = () => {
    const status = host!.parts.running.find(({ name }) => name === 'slots')?.status?.();
    const [pool] = (status?.pools ?? []) as { freeSlots: number }[];
    return pool?.freeSlots ?? 0;
  };
  await until(() => freeSlots() === 1);
  return { call: fleet.call, backend: backend!, freeSlots };
}
