import type { PoolRules } from '@buckthornlug/core/pools/poolTypes.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';

/** Finds the longest time limit of a service's kinds of work. */
export function findMaxCallMs(document: SteeringDocument, service: string): number {
  let maxMs = 0;
  for (const kind of document.services[service]?.kinds ?? []) {
    maxMs = Math.max(maxMs, kind.timeLimitMs);
  }
  return maxMs;
}

/**
 * Creates the rules of a pool from the document.
 *
 * @param maxQueuedCalls - most calls that may wait in the pool
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
