import { adminFeature } from './admin/adminFeature.js';
import { callsFeature } from './calls/callsFeature.js';
import { documentsFeature } from './documents/documentsFeature.js';
import { ledgerFeature } from './ledger/ledgerFeature.js';
import { consensusFeature } from './consensus/consensusFeature.js';
import { metricsFeature } from './metrics/metricsFeature.js';
import { membershipFeature } from './membership/membershipFeature.js';
import type { Feature } from './runtime/hostParts.js';
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
