import type { ConsensusOptions } from '@buckthornlug/core/consensus/consensusTypes.js';

/**
 * Creates the options that all groups of a host share.
 *
 * @param electionTimeoutMs - shortest election timeout
 */
export function createConsensusOptions(
  electionTimeoutMs: number,
  heartbeatMs: number,
): ConsensusOptions {
  return {
    electionTimeoutMs,
    heartbeatMs,
    maxAppendBytes: 512 * 1024,
    maxAppendEntries: 512,
    maxInFlightEntries: 4096,
    snapshotChunkBytes: 512 * 1024,
    retainedEntries: 256,
    maxUncommittedEntries: 16_384,
  };
}
