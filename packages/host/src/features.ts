import { backendsFeature } from './backends/backendsFeature.js';
import { callsFeature } from './calls/callsFeature.js';
import type { Feature } from './runtime/hostParts.js';

/** The features of a host, in the order in which they start. */
export const features: readonly Feature[] = [backendsFeature, callsFeature];
