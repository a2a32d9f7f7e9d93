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
  /** Wall-clock time in milliseconds; for display and for incarnations. */
  readonly wallMs: () => number;
  /**
   * Calls the listener before the first monotonic time after a break of the clock is returned: it may have stood
   * still, so that times noted before are no measure of age. Returns a function that unsubscribes it. Absent
   * from clocks without breaks, as in virtual time.
   */
  readonly onBreak?: (listener: (nowMs: number, partingMs: number) => void) => () => void;
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
  /** Calls the listener after each change; returns a function that unsubscribes it. */
  readonly onChange: (listener: (inForce: DocumentInForce) => void) => () => void;
}

/** A host as recorded in the membership. */
export interface HostRecord {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly incarnation: number;
  readonly state: 'alive' | 'suspected' | 'leaving' | 'failed' | 'left';
  /** Whether this incarnation was seen leaving; stays true if it stops responding afterwards. */
  readonly isLeaving?: boolean;
  readonly roles: readonly string[];
  readonly internal: Endpoint;
  readonly callers: Endpoint;
  readonly admin: Endpoint;
  /** Version of the document in force on the host, as last reported. */
  readonly documentVersion: number;
  /** Revision of the shift steps that the host holds, as last reported; absent means 0. */
  readonly shiftRevision?: number;
}

/** Read access to the membership. */
export interface MembershipView {
  readonly self: () => HostRecord;
  readonly hosts: () => readonly HostRecord[];
  readonly find: (hostId: string) => HostRecord | undefined;
  readonly onChange: (listener: () => void) => () => void;
}

/** Context that every feature of a host receives. */
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

/** Phase of a graceful stop; phases run in the order listed here. */
export type StopPhase =
  'leaveLookups' | 'finishCalls' | 'handOver' | 'closeTasks' | 'closeListeners';

/** A running feature. */
export interface RunningFeature {
  readonly name: string;
  readonly stopSteps: Partial<Record<StopPhase, () => Promise<void>>>;
  /** Fields that the feature adds to `status`. */
  readonly status?: () => Record<string, unknown>;
}
