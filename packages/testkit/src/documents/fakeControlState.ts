import { ControlCopy } from '@buckthornlug/core/spreading/controlCopy.js';
import type { ControlUpdate } from '@buckthornlug/core/spreading/spreadingTypes.js';
import type { ControlStateSource } from '@buckthornlug/host/documents/controlState.js';
import type { Feature } from '@buckthornlug/host/runtime/hostParts.js';
import type { SteeringDocument } from '@buckthornlug/protocol/document/documentTypes.js';
import { splitSections } from '@buckthornlug/protocol/document/sections.js';
import { okAsync } from 'neverthrow';

const alwaysConfirmed = () => 0;

/** A control group of one, in memory: every commit succeeds. */
export class FakeControlState implements ControlStateSource {
  readonly stateAgeMs = alwaysConfirmed;

  private readonly copy = new ControlCopy();

  private readonly listeners = new Set<() => void>();

  updateSince(have: { version: number; shiftRevision: number }): ControlUpdate {
    return this.copy.updateSince(have);
  }

  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /** Commits a document; returns its version. */
  commitDocument(document: SteeringDocument): number {
    const sections = [...splitSections(document)];
    return this.commit(sections.map(([name, content]) => ({ name, content })));
  }

  /** Commits changed sections; returns the version. */
  commit(changes: readonly { name: string; content: unknown }[]): number {
    const { version, shiftRevision } = this.copy.versions();
    this.copy.apply({
      version: version + 1,
      sinceVersion: version,
      sections: changes.map((change) => ({ ...change, version: version + 1 })),
      shiftRevision,
      shiftSteps: [],
    });
    for (const listener of this.listeners) listener();
    return version + 1;
  }

  /** Feature that makes a host a member of this group. */
  feature(): Feature {
    return {
      name: 'fakeControl',
      isEnabled: (settings) => settings.roles.includes('control'),
      start: (_context, parts) => {
        parts.provide({ controlState: this });
        return okAsync({ name: 'fakeControl', stopSteps: {} });
      },
    };
  }
}
