import { hashText } from '../hash/textHash.js';

/** Keeps the calls to cold backend servers under the rate that they bear, over all hosts. */

/** Hosts that may send calls to one cold backend server; each gets an equal share of its rate. */
const sendersPerBackend = 2;
/** Part of the rate that is used; the rest covers calls that arrive in another second than sent. */
const usedRateShare = 0.8;

/**
 * Tells whether a host is among those that may send calls to a cold backend server.
 *
 * @param hostId - this host
 * @param zoneHostIds - entry hosts of the zone of the backend server, this one included if it is
 * @param backendId - cold backend server
 */
export function maySendToColdBackend(
  hostId: string,
  zoneHostIds: readonly string[],
  backendId: string,
): boolean {
  if (!zoneHostIds.includes(hostId)) return false;
  const ownWeight = hashText(`${backendId} ${hostId}`);
  let higherWeights = 0;
  for (const other of zoneHostIds) {
    if (other === hostId) continue;
    if (hashText(`${backendId} ${other}`) > ownWeight) higherWeights += 1;
  }
  return higherWeights < sendersPerBackend;
}

/** Spaces the calls of this host to one cold backend server evenly. */
export class ColdCallPacer {
  private nextAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Whether a call may be sent now.
   *
   * @param nowMs - monotonic time
   */
  maySend(nowMs: number): boolean {
    return nowMs >= this.nextAtMs;
  }

  /**
   * Takes note of a call that is sent.
   *
   * @param callsPerS - rate that the backend server bears while cold
   * @param nowMs - monotonic time
   */
  recordSend(callsPerS: number, nowMs: number): void {
    const share = (callsPerS * usedRateShare) / sendersPerBackend;
    this.nextAtMs = share > 0 ? nowMs + 1000 / share : Number.POSITIVE_INFINITY;
  }
}
