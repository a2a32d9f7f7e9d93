/** Hosts of the ring that each host probes in every interval. */
export const ringProbesPerInterval = 2;
/** Hosts asked to probe one that did not answer. */
export const indirectProbeCount = 3;
/** Hosts told at once of a suspicion, a failure or a refutation. */
export const urgentFanout = 4;
/**
 * Messages a second that a host sends only to tell others at once, and how many it may save up. At
 * about 1 kB each they stay under the 26 kB/s that a host has for control; beyond them news ride on
 * probes. Without the limit a few slow hosts cause so many messages that others become slow as well.
 */
export const urgentMessagesPerS = 8;
export const urgentMessageBurst = 16;
/** Hosts of a zone that exchange records with other zones. */
export const relaysPerZone = 3;
/** Sum of the weights of the records in one message, so that it fits a datagram. */
export const maxRecordWeight = 6;
/** Weight of a record with the identity of its host; other records weigh 1. */
export const recordWithIdentityWeight = 3;
/** Records in one page of a full exchange. */
export const maxRecordsPerSyncPage = 400;
/** Factor on the logarithm of the number of hosts for repeats of a record. */
export const retransmitFactor = 3;
/** Time left to a host that is reported failed but was not suspected here. */
export const minSuspicionMs = 500;
/** Age from which a suspicion or failure heard of is checked by a probe and not adopted. */
export const maxFailureReportAgeMs = 5000;
/** Longest extension of the time for an answer while this process itself is late. */
export const maxTimeoutExtensionMs = 400;
/** Share of a lag that is left after one tick. */
export const timeoutExtensionDecay = 0.9;
/** Seeds asked at once by a host that knows no other. */
export const seedsPerJoinAttempt = 3;
/** Interval between probes of a suspected host by the host that suspects it. */
export const suspectProbeIntervalMs = 250;
/** Interval between attempts to reach a failed host or a seed. */
export const reconnectIntervalMs = 1000;
/** Interval between comparisons of digests. */
export const digestIntervalMs = 3000;
/** The same for a process that has just started. */
export const joiningDigestIntervalMs = 500;
/** Zones whose records are asked for after one comparison. */
export const maxZonesPerSync = 8;
/** Time for which failed and left hosts are remembered. */
export const departedRetentionMs = 24 * 3600 * 1000;
/** Pause between two ticks after which timeouts of the machine itself prove nothing. */
export const minStallMs = 250;
/** Hosts up to which every change of a document version is sent on. */
export const maxHostsForVersionGossip = 64;
/** Hosts of another zone that must be out of reach before the whole zone counts as cut off. */
export const minUnreachableHostsOfCutZone = 6;
/** Time after the start in which records heard of are not sent on. */
export const joinPeriodMs = 5000;
/** Hosts checked by a probe in one interval because of a stale accusation. */
export const maxVerificationsPerInterval = 5;
