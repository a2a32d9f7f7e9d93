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

/** Takes a checked announcement; answers with the lease or the failure to send back. */
export type ReceiveAnnouncement = (
  announcement: Announcement,
) => Result<AnnouncementReply, Failure>;

/** The ledger as the path of a call sees it. */
export interface LedgerHooks {
  /** Commits the intent to run the work before it is dispatched. */
  readonly begin: (
    key: LedgerKey,
    groups: readonly string[],
    deadlineAtMs: number,
  ) => Promise<LedgerDecision>;
  /**
   * Looks up what is recorded of an identity, without a commit.
   *
   * @returns `free` where nothing is, `running` while a first attempt is open, `notKnown` where the
   *   ledger did not answer, or what a resend is told
   */
  readonly find: (
    key: LedgerKey,
    groups: readonly string[],
  ) => Promise<LedgerDecision | 'free' | 'running' | 'notKnown'>;
  /** Commits the outcome; BL9002 where it could not be committed. */
  readonly finish: (intentId: string, outcome: LedgerOutcome) => ResultAsync<void, Failure>;
}

/** The shifts as the placement of calls sees them. */
export interface ShiftHooks {
  /** Admits a call that came from another region, or tells why the cap refuses it. */
  readonly admitShifted: (service: string, fromRegion: string) => Failure | undefined;
  /** The same for a call that is about to go to a backend server after its time in a queue. */
  readonly dispatchShifted: (service: string, fromRegion: string) => Failure | undefined;
  /** Share of a zone's or region's own traffic that runs elsewhere now, in permille. */
  readonly movedPermille: (service: string, scope: 'zone' | 'region', place: string) => number;
}

/** Finds the availability zone nearest to a caller's address. */
export type FindCallerZone = (callerAddress: string) => string | undefined;

/** The parts that features provide, each by its owner while it starts. */
export interface ProvidedParts {
  membership: MembershipView;
  /** Relays and reports of the membership; absent until its feature has started. */
  membershipTask: MembershipTask | undefined;
  /** Socket for small messages; absent until the membership has started. */
  datagrams: Datagrams | undefined;
  /** Committed state of the control group, on its members only; set before `documents` starts. */
  controlState: ControlStateSource | undefined;
  /** Time since the control group was last known to have a leader, in milliseconds. */
  controlSilentMs: () => number;
  /** Opens a replicated group of the settings, on members and other hosts alike. */
  openGroup: OpenGroup;
  /** The control group; undefined where the settings name none. */
  control: ControlGroup | undefined;
  /** Takes the calls that other hosts forward. */
  forwardedCalls: ForwardedCallHandler;
  placeCall: PlaceCall;
  foreseeCall: ForecastAdmission;
  mayRetry: MayRetry;
  hedging: Hedging;
  receiveAnnouncement: ReceiveAnnouncement;
  ledger: LedgerHooks;
  findCallerZone: FindCallerZone;
  shifts: ShiftHooks;
  /** Host that owns the pool of a service in a zone; undefined where not known. */
  poolOwner: (availabilityZone: string, service: string) => string | undefined;
  /** Orders about routing; absent on hosts that are no control hosts. */
  routingCommands: RoutingCommands | undefined;
  /** Takes a report of a backend server; resolves once the control group holds it. */
  reportBackend: (report: BackendReport) => ResultAsync<void, Failure>;
  /** Removes a backend server that leaves. */
  removeBackend: (backendId: string) => ResultAsync<void, Failure>;
  /** Whether this host takes calls and holds what it needs to place them. */
  isReady: () => boolean;
  /** Number that rises once owners of pools of the own zone may have changed. */
  poolOwnersVersion: () => number;
}

/**
 * What the features of a host give to each other. Provided parts are read at each use, since a later
 * feature may replace them. features.ts gives the order of starts.
 */
export interface HostParts extends ProvidedParts {
  /** Sets the parts that a feature owns. */
  readonly provide: (owned: Partial<ProvidedParts>) => void;
  readonly document: DocumentHolder;
  /** Steps of shifts that this host has learned of. */
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
  /** Tells by the settings whether the host runs the feature. */
  readonly wanted: (settings: Settings) => boolean;
  readonly start: (context: HostContext, parts: HostParts) => ResultAsync<RunningFeature, Failure>;
}
