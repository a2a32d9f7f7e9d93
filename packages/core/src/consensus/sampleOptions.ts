import type { ConsensusOptions } from './consensusTypes.js';

/** Options of replicas in tests. */
export const sampleOptions: ConsensusOptions = {
  electionTimeoutMs: 1000,
  heartbeatMs: 150,
  maxAppendBytes: 65_536,
  maxAppendEntries: 512,
  maxInFlightEntries: 4096,
  snapshotChunkBytes: 65_536,
  retainedEntries: 256,
  retainedBytes: 1_048_576,
  maxUncommittedEntries: 16_384,
  maxUncommittedBytes: 1_048_576,
};
