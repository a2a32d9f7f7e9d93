import { hashText } from '../hash/textHash.js';

/** Keeps the calls of all hosts to a cold backend server below the rate that it can take. */

/** Hosts that may send calls to one cold backend server; each gets an equal share of its rate. */
const sendersPerBackend = 2;
/**
 * Share of the rate that is used; the rest is headroom for calls that arrive in a different second
 * than the one in which they were sent.
 */
const usedRateShare = 0.8;

/**
 * Whether a host may send calls to a cold backend server. All hosts agree on the senders, since they
 * are chosen by rendezvous hashing.
 *
 * @param hostId - this host
 * @param zoneHostIds - entry hosts in the zone of the backend server, including this one if it is there
 * @param backendId - cold backend server
 */
export function maySendToColdBackend(
  hostId: string,
  zoneHostIds: readonly string[],
  backendId: string,
): boolean {
  if (!zoneHostIds.includes(hostId)) return false;
  const ownWeight = hashText(`${backendId} ${hostId}`);
  let hostsAhead = 0;
  for (const other of zoneHostIds) {
    if (other === hostId) continue;
    if (hashText(`${backendId} ${other}`) > ownWeight) hostsAhead += 1;
  }
  return hostsAhead < sendersPerBackend;
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
   * Records that a call is sent.
   *
   * @param callsPerS - rate that the backend server can take while cold, from all hosts
   * @param nowMs - monotonic time
   */
  recordSend(callsPerS: number, nowMs: number): void {
    const share = (callsPerS * usedRateShare) / sendersPerBackend;
    this.nextAtMs = share > 0 ? nowMs + 1000 / share : Number.POSITIVE_INFINITY;
  }
}
