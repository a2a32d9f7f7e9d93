import type { Endpoint } from '@buckthornlug/protocol/common/primitives.js';

/** What is known of a host's life. */
export type MemberState = 'alive' | 'suspected' | 'leaving' | 'failed' | 'left';

/** What stays the same in the life of a process. */
export interface MemberIdentity {
  readonly hostId: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly roles: readonly string[];
  readonly internal: Endpoint;
  readonly callers: Endpoint;
  readonly admin: Endpoint;
}

/** The changing part of a record, ordered by incarnation, then refutation, then state. */
export interface MemberStamp {
  readonly hostId: string;
  /** Start of the process. */
  readonly incarnation: number;
  /** Raised by the host itself to contradict a suspicion. */
  readonly refutation: number;
  readonly state: MemberState;
  /** Version of the document in force on the host. */
  readonly documentVersion: number;
  /** Revision of the steps of shifts that the host holds. */
  readonly shiftRevision: number;
}

/** What a host holds of the control group's state. */
export type HeldVersions = Pick<MemberStamp, 'documentVersion' | 'shiftRevision'>;

/** A record as it travels. */
export interface MemberRecord extends MemberStamp {
  /** Time since the state was found. */
  readonly ageMs: number;
  /** Sent along where the receiver may not know the process yet. */
  readonly identity?: MemberIdentity;
}

interface MessageBase {
  readonly from: MemberStamp;
  readonly to: string;
  readonly records: readonly MemberRecord[];
  /** What the sender holds of the receiver, where it is not held to be alive. */
  readonly heldOfYou?: MemberStamp;
}

/** A message between two hosts. */
export type MemberMessage =
  | (MessageBase & {
      readonly kind: 'probe';
      readonly sequence: number;
      /** Sent until the receiver has answered once. */
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
      /** Records after this host are asked for. */
      readonly after: string;
      /** Zones whose records are asked for; all where absent. */
      readonly zones?: readonly string[];
    })
  | (MessageBase & {
      readonly kind: 'syncReply';
      readonly zones?: readonly string[];
      /** Last host of a page that more records follow; absent on the last page. */
      readonly continueAfter?: string;
    });

/** What the machine knows of one host. */
export interface MemberEntry {
  identity: MemberIdentity;
  incarnation: number;
  refutation: number;
  state: MemberState;
  documentVersion: number;
  shiftRevision: number;
  /** Time at which the state was found. */
  changedAtMs: number;
  /** Time at which a suspected host counts as failed. */
  suspicionEndsAtMs: number;
  /** Whether this host raised the suspicion. */
  isSuspectedLocally: boolean;
  /** Whether the last probe from here was answered. */
  isReachable: boolean;
  /** Whether the host has answered a probe that introduced this one. */
  hasReceivedIdentity: boolean;
}

/** Change of a host's state, for the time line. */
export interface MemberEvent {
  readonly kind: 'memberAlive' | 'memberSuspected' | 'memberFailed' | 'memberLeft';
  readonly hostId: string;
  readonly availabilityZone: string;
  readonly incarnation: number;
}

/** What the shell does for the machine. */
export type MembershipEffect =
  | {
      readonly effect: 'send';
      readonly endpoint: Endpoint;
      readonly message: MemberMessage;
    }
  | { readonly effect: 'event'; readonly event: MemberEvent }
  | { readonly effect: 'identityConflict'; readonly incarnation: number };

/** A host to start from. */
export interface Seed {
  readonly hostId: string;
  readonly internal: Endpoint;
}

/** Parameters of the machine. */
export interface MembershipConfig {
  /** Interval between ticks. */
  readonly tickMs: number;
  readonly probeIntervalMs: number;
  /** Time for a direct answer; helpers get twice this time on top. */
  readonly directTimeoutMs: number;
  readonly suspicionMs: number;
  readonly seeds: readonly Seed[];
}
