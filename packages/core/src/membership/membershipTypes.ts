import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';

/** State of a host as the membership sees it. */
export type MemberState = 'alive' | 'suspected' | 'leaving' | 'failed' | 'left';

/** Properties of a host that stay constant while its process runs. */
export interface MemberIdentity {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly roles: readonly string[];
  readonly internal: Endpoint;
  readonly callers: Endpoint;
  readonly admin: Endpoint;
}

/** Changing part of a member record, ordered by incarnation, then refutation, then state. */
export interface MemberStamp {
  readonly hostId: string;
  /** Wall time of the process start; raised when the host refutes a later incarnation. */
  readonly incarnation: number;
  /** Counter that the host itself raises to refute a suspicion or to announce its leave. */
  readonly refutation: number;
  readonly state: MemberState;
  /** Version of the document in force on the host. */
  readonly documentVersion: number;
  /** Revision of the shift steps that the host holds. */
  readonly shiftRevision: number;
}

/** Versions of the control group's state that a host holds. */
export type HeldVersions = Pick<MemberStamp, 'documentVersion' | 'shiftRevision'>;

/** Member record as sent in a message. */
export interface MemberRecord extends MemberStamp {
  /** Time since the state was detected. */
  readonly ageMs: number;
  /** Included where the receiver may not know the process yet. */
  readonly identity?: MemberIdentity;
}

interface MessageBase {
  readonly from: MemberStamp;
  readonly to: string;
  readonly records: readonly MemberRecord[];
  /** The sender's stamp of the receiver; included if it is neither alive nor leaving. */
  readonly heldOfYou?: MemberStamp;
}

/** A message between two hosts. */
export type MemberMessage =
  | (MessageBase & {
      readonly kind: 'probe';
      readonly sequence: number;
      /** Included until the receiver has acknowledged a probe. */
      readonly identity?: MemberIdentity;
    })
  | (MessageBase & { readonly kind: 'ack'; readonly sequence: number })
  | (MessageBase & {
      readonly kind: 'probeRequest';
      readonly sequence: number;
      readonly target: string;
    })
  | (MessageBase & { readonly kind: 'gossip' })
  | (MessageBase & {
      readonly kind: 'digest';
      /** Digest of the hosts of each zone. */
      readonly zones: Readonly<Record<string, number>>;
      /** Whether the message answers a digest that differed. */
      readonly isAnswer: boolean;
    })
  | (MessageBase & {
      readonly kind: 'sync';
      readonly identity: MemberIdentity;
      /** Requests the records of hosts whose id sorts after this one. */
      readonly after: string;
      /** Zones whose records are requested; all if absent. */
      readonly zones?: readonly string[];
    })
  | (MessageBase & {
      readonly kind: 'syncReply';
      readonly zones?: readonly string[];
      /** Last host of the page if more records follow; absent on the last page. */
      readonly continueAfter?: string;
    });

/** State that the machine keeps of one host. */
export interface MemberEntry {
  identity: MemberIdentity;
  incarnation: number;
  refutation: number;
  state: MemberState;
  documentVersion: number;
  shiftRevision: number;
  /** Time at which the state was detected. */
  changedAtMs: number;
  /** Time at which a suspected host counts as failed. */
  suspicionEndsAtMs: number;
  /** Whether this host's own probe timed out, so that the suspicion is first-hand. */
  isSuspectedLocally: boolean;
  /** Whether the last probe by this host was acknowledged. */
  isReachable: boolean;
  /** Whether the host has acknowledged a probe that carried this host's identity. */
  hasReceivedIdentity: boolean;
}

/** State change of a host, for the timeline. */
export interface MemberEvent {
  readonly kind: 'memberAlive' | 'memberSuspected' | 'memberFailed' | 'memberLeft';
  readonly hostId: string;
  readonly availabilityZone: string;
  readonly incarnation: number;
}

/** Effect of a step that the runner of the machine has to carry out. */
export type MembershipEffect =
  | {
      readonly effect: 'send';
      readonly endpoint: Endpoint;
      readonly message: MemberMessage;
    }
  | { readonly effect: 'event'; readonly event: MemberEvent }
  | { readonly effect: 'identityConflict'; readonly incarnation: number };

/** Configured host that a starting host contacts to join. */
export interface Seed {
  readonly hostId: string;
  readonly internal: Endpoint;
}

/** Parameters of the machine. */
export interface MembershipConfig {
  /** Interval between ticks. */
  readonly tickMs: number;
  readonly probeIntervalMs: number;
  /** Timeout of a direct probe; indirect probes get twice this time on top. */
  readonly directTimeoutMs: number;
  readonly suspicionMs: number;
  readonly seeds: readonly Seed[];
}
