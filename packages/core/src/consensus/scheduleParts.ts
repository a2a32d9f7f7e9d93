import type { DurableState, LogEntry, Members, PersistEffect } from './consensusTypes.js';

/** Random numbers, disks and hashes of simulated replicas. */

/** Fails the schedule if a condition does not hold. */
export function assertInvariant(condition: boolean, violation: string): void {
  if (!condition) throw new Error(violation);
}

/** Creates a seeded generator of random numbers in [0, 1). */
export function seededRandom(seed: number): () => number {
  let state = Math.imul(seed, 0x9e3779b1) >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

/** Content of an entry, for comparison. */
export const keyOf = (entry: LogEntry): string =>
  entry.body.kind === 'command' ? `command ${entry.body.data.join('.')}` : entry.body.kind;

/** Hash of a state after it applied an entry. */
export const hashOf = (hash: number, entry: LogEntry): number => {
  let next = hash;
  for (const letter of keyOf(entry)) next = (next * 31 + letter.charCodeAt(0)) % 1_000_003;
  return next;
};

/** Encodes the hash of a state as the content of its snapshot. */
export const encodeHash = (hash: number): Uint8Array =>
  Uint8Array.from(String(hash), (c) => c.charCodeAt(0));

/** The disk after a change was written. */
export function applyPersist(disk: DurableState, effect: PersistEffect): DurableState {
  const { truncateFrom = Number.POSITIVE_INFINITY, resetLog } = effect;
  const snapshot = effect.snapshot ?? disk.snapshot;
  const kept = resetLog ? [] : disk.entries.filter((entry) => entry.index < truncateFrom);
  const entries = [...kept, ...effect.entries].filter((entry) => entry.index > snapshot.index);
  return { hardState: effect.hardState ?? disk.hardState, snapshot, entries };
}

/** A disk that holds nothing but the first members of a group; none for a replica that joins later. */
export function firstDisk(members: Members = { voters: [], learners: [] }): DurableState {
  const snapshot = { index: 0, term: 0, members, data: encodeHash(0) };
  return { hardState: { term: 0, votedFor: null }, snapshot, entries: [] };
}
