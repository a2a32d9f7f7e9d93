import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import type { EventInput } from '@buckthornlug/protocol/events/eventSchema.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';

import type { Log } from '../log/log.js';
import type { MetricsRegistry } from '../metrics/metrics.js';
import type { TimelineRecorder } from '../timeline/timelineRecorder.js';

/** Clocks of the process. */
export interface Clock {
  /** Monotonic time in milliseconds; for intervals and deadlines. */
  readonly nowMs: () => number;
  /** Wall time in milliseconds; for people and for incarnations. */
  readonly wallMs: () => number;
}

/** A source of random numbers in [0, 1). */
export type Random = () => number;

/** Adds an event to the time line of the process. */
export type RecordEvent = (event: EventInput) => void;

/** The document in force on this host. */
export interface DocumentInForce {
  readonly version: number;
  readonly sectionVersions: Readonly<Record<string, number>>;
  readonly document: SteeringDocument;
}

/** Read access to the document in force. */
export interface DocumentView {
  readonly current: () => DocumentInForce | undefined;
  /** Calls back after each change; returns a function that ends it. */
  readonly onChange: (listener: (inForce: DocumentInForce) => void) => () => void;
}

/** What is known of a host. */
export interface HostRecord {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly incarnation: number;
  readonly state: 'alive' | 'suspected' | 'leaving' | 'failed' | 'left';
  /** Whether this incarnation was seen leaving, also where it has fallen silent since. */
  readonly isLeaving?: boolean;
  readonly roles: readonly string[];
  readonly internal: Endpoint;
  readonly callers: Endpoint;
  readonly admin: Endpoint;
  /** Version of the document in force on the host, as last heard. */
  readonly documentVersion: number;
  /** Revision of the steps of shifts that the host holds, as last heard; 0 where absent. */
  readonly shiftRevision?: number;
}

/** Read access to the membership. */
export interface MembershipView {
  readonly self: () => HostRecord;
  readonly hosts: () => readonly HostRecord[];
  readonly find: (hostId: string) => HostRecord | undefined;
  readonly onChange: (listener: () => void) => () => void;
}

/** What every feature of a host is given. */
export interface HostContext {
  readonly settings: Settings;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly record: RecordEvent;
  /** Events of this process and its hybrid clock. */
  readonly timeline: TimelineRecorder;
  readonly metrics: MetricsRegistry;
}

/** A step of a planned stop; steps run in the order of their phase. */
export type StopPhase =
  'leaveLookups' | 'finishCalls' | 'handOver' | 'closeTasks' | 'closeListeners';

/** A running feature. */
export interface RunningFeature {
  readonly name: string;
  readonly stopSteps: Partial<Record<StopPhase, () => Promise<void>>>;
  /** The part of `status` that the feature fills. */
  readonly status?: () => Record<string, unknown>;
}
