import type {
  Announcement,
  AnnouncementReply,
} from '@buckthornlug/protocol/announce/announceSchema.js';
import type { BackendReport } from '@buckthornlug/protocol/registry/registrySchema.js';
import type { Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Settings } from '@buckthornlug/protocol/settings/settingsSchema.js';
import type {
  LedgerDecision,
  LedgerKey,
  LedgerOutcome,
} from '@buckthornlug/protocol/steering/ledgerTypes.js';
import type {
  ForecastAdmission,
  Hedging,
  MayRetry,
  PlaceCall,
} from '@buckthornlug/protocol/steering/placementTypes.js';
import type { Result, ResultAsync } from 'neverthrow';

import type { RegisterRoutes } from '../admin/adminListener.js';
import type { ControlStateSource } from '../documents/controlState.js';
import type { ShiftStepHolder } from '../documents/shiftStepHolder.js';
import type { MembershipTask } from '../membership/membershipTask.js';
import type { OpenGroup } from '../consensus/groups.js';
import type { RpcHandlers } from '../rpc/appRouter.js';
import type { Datagrams } from '../rpc/datagrams.js';
import type { ForwardedCallHandler } from '../rpc/internalListener.js';
import type { PeerClients } from '../rpc/peerClients.js';
import type { RoutingCommands } from '../routing/routingCommands.js';
import type { ControlGroup } from '../submissions/controlGroup.js';
import type { RequestAuth } from '../rpc/requestAuth.js';
import type { TableHolder } from '../table/tableHolder.js';
import type { DocumentHolder } from './documentHolder.js';
import type { HostContext, MembershipView, RunningFeature } from './hostTypes.js';

/** Handles a checked announcement; returns the lease, or the failure to answer with. */
export type ReceiveAnnouncement = (
  announcement: Announcement,
) => Result<AnnouncementReply, Failure>;

/** Operations of the ledger that calls use. */
export interface LedgerHooks {
  /** Commits the intent to run the work before it is dispatched. */
  readonly begin: (
    key: LedgerKey,
    groups: readonly string[],
    deadlineAtMs: number,
  ) => Promise<LedgerDecision>;
  /**
   * Looks up the record of an identity without a commit.
   *
   * @returns `free` if there is no record, `running` while a first attempt is in progress,
   *   `notKnown` if the ledger did not answer, otherwise the decision on a resend
   */
  readonly find: (
    key: LedgerKey,
    groups: readonly string[],
  ) => Promise<LedgerDecision | 'free' | 'running' | 'notKnown'>;
  /** Commits the outcome; fails with BL9002 if it could not be committed. */
  readonly finish: (intentId: string, outcome: LedgerOutcome) => ResultAsync<void, Failure>;
}

/** Operations of shifts that the placement of calls uses. */
export interface ShiftHooks {
  /** Admits a call that came from another region, or returns the failure if the cap refuses it. */
  readonly admitShifted: (service: string, fromRegion: string) => Failure | undefined;
  /** Like `admitShifted`, for a queued call that is about to be sent to a backend server. */
  readonly dispatchShifted: (service: string, fromRegion: string) => Failure | undefined;
  /** Share of the own traffic of a zone or region that is shifted away now, in permille. */
  readonly movedPermille: (service: string, scope: 'zone' | 'region', place: string) => number;
}

/** Finds the availability zone nearest to a caller's address. */
export type FindCallerZone = (callerAddress: string) => string | undefined;

/** Parts that features provide; the feature that owns a part sets it while it starts. */
export interface ProvidedParts {
  membership: MembershipView;
  /** Relays, messages and version reports of the membership; absent before its feature starts. */
  membershipTask: MembershipTask | undefined;
  /** Sends and receives datagrams; absent until the membership has started. */
  datagrams: Datagrams | undefined;
  /** Committed state of the control group, on its members only; set before `documents` starts. */
  controlState: ControlStateSource | undefined;
  /** Time since the control group was last known to have a leader, in milliseconds. */
  controlSilentMs: () => number;
  /** Opens a configured replicated group, on its members and on other hosts. */
  openGroup: OpenGroup;
  /** The control group; undefined where the settings name none. */
  control: ControlGroup | undefined;
  /** Handles the calls that other hosts forward. */
  forwardedCalls: ForwardedCallHandler;
  placeCall: PlaceCall;
  forecastAdmission: ForecastAdmission;
  mayRetry: MayRetry;
  hedging: Hedging;
  receiveAnnouncement: ReceiveAnnouncement;
  ledger: LedgerHooks;
  findCallerZone: FindCallerZone;
  shifts: ShiftHooks;
  /** Host that owns the pool of a service in a zone; undefined if unknown. */
  poolOwner: (availabilityZone: string, service: string) => string | undefined;
  /** Routing commands of operators; undefined on hosts that are not control hosts. */
  routingCommands: RoutingCommands | undefined;
  /** Records a report of a backend server; resolves once the control group holds it. */
  reportBackend: (report: BackendReport) => ResultAsync<void, Failure>;
  /** Removes an incarnation of a backend server that leaves; the registered one if none is named. */
  removeBackend: (backendId: string, bornAtMs?: number) => ResultAsync<void, Failure>;
  /** Whether this host accepts calls and has the state that it needs to place them. */
  isReady: () => boolean;
  /** Counter that increases whenever owners of pools in the own zone may have changed. */
  poolOwnersVersion: () => number;
}

/**
 * Parts that the features of a host share. Read provided parts at each use, since a feature that
 * starts later may replace them; features.ts defines the start order.
 */
export interface HostParts extends ProvidedParts {
  /** Sets the parts that a feature owns. */
  readonly provide: (owned: Partial<ProvidedParts>) => void;
  readonly document: DocumentHolder;
  /** Shift steps that this host knows. */
  readonly shiftSteps: ShiftStepHolder;
  /** The document in force, compiled. */
  readonly table: TableHolder;
  readonly peers: PeerClients;
  readonly auth: RequestAuth;
  readonly rpcHandlers: Partial<RpcHandlers>;
  /** Routes of the administration API; features add theirs while they start. */
  readonly adminRoutes: RegisterRoutes[];
  /** Features that have started so far, for `status`. */
  readonly running: RunningFeature[];
}

/** A feature of a host. */
export interface Feature {
  readonly name: string;
  /** Whether a host with these settings runs the feature. */
  readonly isEnabled: (settings: Settings) => boolean;
  readonly start: (context: HostContext, parts: HostParts) => ResultAsync<RunningFeature, Failure>;
}
