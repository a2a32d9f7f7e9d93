import type { PoolRules } from '@buckthornlug/core/pools/poolTypes.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';

/** Longest time that a call of a service may run. */
export function findMaxCallMs(document: SteeringDocument, service: string): number {
  let maxMs = 0;
  for (const kind of document.services[service]?.kinds ?? []) {
    maxMs = Math.max(maxMs, kind.timeLimitMs);
  }
  return maxMs;
}

/**
 * Takes the rules of a pool from the document.
 *
 * @param document - document in force
 * @param service - service of the pool
 * @param maxQueuedCalls - calls that may wait
 */
export function createPoolRules(
  document: SteeringDocument,
  service: string,
  maxQueuedCalls: number,
): PoolRules {
  return {
    ranks: document.ranks.map(({ targetMs, floorPermille }) => ({ targetMs, floorPermille })),
    serviceTimeMs: document.services[service]?.serviceTimeMs ?? 1,
    maxQueuedCalls,
  };
}
