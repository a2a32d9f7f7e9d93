/** Ring successors that each host probes in every interval. */
export const ringProbesPerInterval = 2;
/** Hosts asked to probe a host that did not answer, and hosts probed to check its zone. */
export const indirectProbeCount = 3;
/** Hosts informed immediately of a suspicion, a failure or a refutation. */
export const urgentFanout = 4;
/**
 * Rate and burst of the messages that a host sends only to disseminate a change immediately. At
 * about 1 kB each they stay under the 26 kB/s that a host has for control; changes beyond the limit
 * are piggybacked on probes. Without the limit a few slow hosts cause so many messages that other
 * hosts become slow as well.
 */
export const urgentMessagesPerS = 8;
export const urgentMessageBurst = 16;
/** Hosts of a zone that exchange records with other zones. */
export const relaysPerZone = 3;
/** Maximum sum of record weights in one message, so that it fits a datagram. */
export const maxRecordWeight = 6;
/** Weight of a record with the identity of its host; other records weigh 1. */
export const recordWithIdentityWeight = 3;
/** Maximum number of records in one page of a sync. */
export const maxRecordsPerSyncPage = 400;
/** A record is sent this factor times the binary logarithm of the number of hosts. */
export const retransmitFactor = 3;
/** Multiple of the suspicion time after which a host without evidence of its own concludes. */
export const reportedSuspicionFactor = 3;
/** Minimum time to refute a reported suspicion, or a reported failure without prior suspicion. */
export const minSuspicionMs = 500;
/** Age above which a reported suspicion or failure is verified by a probe instead of adopted. */
export const maxFailureReportAgeMs = 5000;
/** Maximum extension of probe timeouts while the ticks of this process are late. */
export const maxTimeoutExtensionMs = 400;
/** Fraction of the timeout extension that is left after one tick. */
export const timeoutExtensionDecay = 0.9;
/** Seeds contacted at a time by a host that knows no other participating host. */
export const seedsPerJoinAttempt = 3;
/** Interval between probes of a suspected host by the host that suspects it. */
export const suspectProbeIntervalMs = 250;
/** Interval between attempts to reach a failed host or a seed. */
export const reconnectIntervalMs = 1000;
/** Interval between digests sent for comparison. */
export const digestIntervalMs = 3000;
/** Interval between digests during the join period. */
export const joiningDigestIntervalMs = 500;
/** Maximum number of zones whose records are requested after one digest comparison. */
export const maxZonesPerSync = 8;
/** Time for which entries of failed and left hosts are kept. */
export const departedRetentionMs = 24 * 3600 * 1000;
/** Gap between two ticks above which the process was stalled and its timeouts prove nothing. */
export const minStallMs = 250;
/**
 * Number of hosts up to which every change of a held version is gossiped. The bytes grow with the
 * square of the hosts; beyond it only the first version that a host holds is gossiped.
 */
export const maxHostsForVersionGossip = 12;
/** Probe rounds between two in which relays probe hosts of other zones. */
export const roundsPerRemoteProbe = 2;
/** Unreachable hosts of another zone from which the whole zone counts as cut off. */
export const minUnreachableHostsOfCutZone = 6;
/** Time after the start during which records from a sync are not forwarded. */
export const joinPeriodMs = 5000;
/** Maximum number of hosts probed in one interval to verify old failure reports. */
export const maxVerificationsPerInterval = 5;
