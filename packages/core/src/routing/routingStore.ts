import type {
  RoutingChanges,
  RoutingDocument,
} from '@buckthornlug/protocol/routing/routingSchema.js';

import { neverChanged } from './orderBases.js';
import { RoutingHistory } from './routingChanges.js';

/** State of the control group: the routing document and the evacuated availability zones. */

/** Puts a routing document in force unless the same or a higher version is in force already. */
export interface ReplaceRoutingCommand {
  readonly type: 'replaceRouting';
  readonly document: RoutingDocument;
}

/** Begins or ends the evacuation of an availability zone. */
export interface EvacuationCommand {
  readonly type: 'evacuation';
  readonly availabilityZone: string;
  readonly isEvacuated: boolean;
  /** Wall time of the order, read at the host that received it. */
  readonly atMs: number;
  /**
   * Last change of the zone that the receiving host knew, as in `evacuationChanges`. The order is refused if
   * the zone has changed since; absent in orders of releases before this guard.
   */
  readonly baseAtMs?: number;
}

/** Reply to `ReplaceRoutingCommand` and `EvacuationCommand`. */
export interface RoutingReply {
  /** Version in force after the command. */
  readonly routingVersion: number;
  /** Whether the command was refused, since what it rests on has changed. */
  readonly isSuperseded?: boolean;
}

/** An availability zone that is or was evacuated. */
export interface EvacuationRecord {
  readonly availabilityZone: string;
  readonly isEvacuated: boolean;
  /** Wall time of the last change; increases with each change of the zone. */
  readonly atMs: number;
}

/** Whole state of the store. */
export interface RoutingSnapshot {
  readonly document: RoutingDocument | null;
  readonly evacuations: readonly EvacuationRecord[];
  readonly evacuationRevision: number;
}

/** Holds the routing document with the highest version and the evacuations. */
export class RoutingStore {
  private document: RoutingDocument | undefined;

  private readonly history = new RoutingHistory();

  private evacuations = new Map<string, EvacuationRecord>();

  private revision = 0;

  /** The document in force; undefined before the first one. */
  current(): RoutingDocument | undefined {
    return this.document;
  }

  /** Version in force; -1 before the first document. */
  version(): number {
    return this.document?.version ?? -1;
  }

  /** Revision that increases whenever an evacuation begins or ends. */
  evacuationRevision(): number {
    return this.revision;
  }

  evacuationRecords(): readonly EvacuationRecord[] {
    return [...this.evacuations.values()];
  }

  replace({ document }: ReplaceRoutingCommand): RoutingReply {
    if (document.version > this.version()) {
      this.document = document;
      this.history.record(document);
    }
    return { routingVersion: this.version() };
  }

  /** Changes of the document since a version; undefined if they are not known. */
  changesSince(version: number): RoutingChanges | undefined {
    return this.document === undefined
      ? undefined
      : this.history.changesSince(version, this.document);
  }

  /** Last change of each zone. */
  evacuationChanges(): ReadonlyMap<string, number> {
    const records = this.evacuationRecords();
    return new Map(records.map(({ availabilityZone, atMs }) => [availabilityZone, atMs]));
  }

  /** An order that is in force already is acknowledged, whatever it is based on. */
  setEvacuation(command: EvacuationCommand): RoutingReply {
    const { availabilityZone, isEvacuated, atMs, baseAtMs } = command;
    const known = this.evacuations.get(availabilityZone);
    const routingVersion = this.version();
    if ((known?.isEvacuated ?? false) === isEvacuated) return { routingVersion };
    const changedAtMs = known?.atMs ?? neverChanged;
    if (baseAtMs !== undefined && baseAtMs !== changedAtMs) {
      return { routingVersion, isSuperseded: true };
    }
    const record = { availabilityZone, isEvacuated, atMs: Math.max(atMs, changedAtMs + 1) };
    this.evacuations.set(availabilityZone, record);
    this.revision += 1;
    return { routingVersion };
  }

  snapshot(): RoutingSnapshot {
    return {
      document: this.document ?? null,
      evacuations: this.evacuationRecords(),
      evacuationRevision: this.revision,
    };
  }

  restore(snapshot: RoutingSnapshot | undefined): void {
    this.document = snapshot?.document ?? undefined;
    this.history.begin(this.document);
    const records = snapshot?.evacuations ?? [];
    this.evacuations = new Map(records.map((record) => [record.availabilityZone, record]));
    this.revision = snapshot?.evacuationRevision ?? 0;
  }
}
