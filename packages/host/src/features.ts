import { adminFeature } from './admin/adminFeature.js';
import { callsFeature } from './calls/callsFeature.js';
import { consensusFeature } from './consensus/consensusFeature.js';
import { metricsFeature } from './metrics/metricsFeature.js';
import { membershipFeature } from './membership/membershipFeature.js';
import type { Feature } from './runtime/hostParts.js';
import { slotsFeature } from './slots/slotsFeature.js';
import { submissionsFeature } from './submissions/submissionsFeature.js';
import { timelineFeature } from './timeline/timelineFeature.js';

/** The features of a host, in the order in which they start. */
export const features: readonly Feature[] = [
  membershipFeature,
  timelineFeature,
  metricsFeature,
  consensusFeature,
  slotsFeature,
  submissionsFeature,
  callsFeature,
  // The administration API comes last: it mounts the routes of the features before it.
  adminFeature,
];
