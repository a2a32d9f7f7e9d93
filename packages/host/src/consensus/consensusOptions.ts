import type {
  ConsensusOptions,
  ReplacementOptions,
} from '@buckthornlug/core/consensus/consensusTypes.js';

/**
 * Creates the options of a group.
 *
 * @param electionTimeoutMs - shortest election timeout
 * @param replacement - when replicas of hosts that are gone are removed; never if absent
 */
export function createConsensusOptions(
  electionTimeoutMs: number,
  heartbeatMs: number,
  replacement?: ReplacementOptions,
): ConsensusOptions {
  return {
    electionTimeoutMs,
    heartbeatMs,
    maxAppendBytes: 512 * 1024,
    maxAppendEntries: 512,
    maxInFlightEntries: 4096,
    snapshotChunkBytes: 512 * 1024,
    retainedEntries: 256,
    retainedBytes: 16 * 1024 * 1024,
    maxUncommittedEntries: 16_384,
    maxUncommittedBytes: 32 * 1024 * 1024,
    ...(replacement === undefined ? {} : { replacement }),
  };
}
