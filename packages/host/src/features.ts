import { adminFeature } from './admin/adminFeature.js';
import { callsFeature } from './calls/callsFeature.js';
import { documentsFeature } from './documents/documentsFeature.js';
import { ledgerFeature } from './ledger/ledgerFeature.js';
import { consensusFeature } from './consensus/consensusFeature.js';
import { metricsFeature } from './metrics/metricsFeature.js';
import { membershipFeature } from './membership/membershipFeature.js';
import type { Feature } from './runtime/hostParts.js';
import { routedCallsFeature } from './routedCalls/routedCallsFeature.js';
import { routingFeature } from './routing/routingFeature.js';
import { shiftsFeature } from './shifts/shiftsFeature.js';
import { backendsFeature } from './slots/backendsFeature.js';
import { slotsFeature } from './slots/slotsFeature.js';
import { submissionsFeature } from './submissions/submissionsFeature.js';
import { timelineFeature } from './timeline/timelineFeature.js';

/** The features of a host, in the order in which they start. */
export const features: readonly Feature[] = [
  timelineFeature,
  metricsFeature,
  membershipFeature,
  consensusFeature,
  submissionsFeature,
  // Follows the control group, so it starts after the features of the group.
  documentsFeature,
  ledgerFeature,
  shiftsFeature,
  slotsFeature,
  backendsFeature,
  callsFeature,
  // The administration API comes last: it mounts the routes of the features before it.
  adminFeature,
];

/** Limits a feature to control hosts. */
function limitToControlHosts(feature: Feature): Feature {
  const isEnabled: Feature['isEnabled'] = (settings) =>
    settings.roles.includes('control') && feature.isEnabled(settings);
  return { ...feature, isEnabled };
}

/**
 * The features of a host that serves a routing document with registered backend servers, in the
 * order in which they start. Pools, shifts and the ledger are left out, since they need sections of
 * the steering document and announced backend servers.
 */
export const routedFeatures: readonly Feature[] = [
  timelineFeature,
  metricsFeature,
  membershipFeature,
  ...[consensusFeature, submissionsFeature].map(limitToControlHosts),
  routingFeature,
  routedCallsFeature,
  adminFeature,
];
