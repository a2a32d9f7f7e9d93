import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

import {
  createControlMachine,
  type ControlCommand,
  type ControlMachine,
  type ControlReply,
} from '@buckthornlug/core/submissions/controlMachine.js';
import { createInitialState } from '@buckthornlug/host/consensus/formation.js';
import { openGroupStorage } from '@buckthornlug/host/consensus/groupStorage.js';
import { startGroupTask } from '@buckthornlug/host/consensus/groupTask.js';
import type { GroupTask } from '@buckthornlug/host/consensus/groupTaskTypes.js';
import { createMetrics } from '@buckthornlug/host/metrics/metrics.js';
import type { HostContext } from '@buckthornlug/host/runtime/hostTypes.js';
import { splitSections } from '@buckthornlug/protocol/document/sections.js';

import { createSeededRandom } from '../../fakes/seededRandom.js';
import { createLargeDocument } from '../members/largeDocument.js';
import type { ReportRow } from '../benchTypes.js';

/** One replica with a document of full size: what snapshots cost, and how long a restart takes. */

const hostId = 'member';
const keyId = 'key-1';
const team = 'platform';
const settleMs = 500;
const pollMs = 5;
const timeoutMs = 60_000;
const nsPerMs = 1_000_000;

type ControlTask = GroupTask<ControlCommand, ControlReply>;

interface Member {
  readonly machine: ControlMachine;
  readonly task: ControlTask;
  /** Time from the open folder to a leader that has applied everything. */
  readonly startMs: number;
  readonly replayedEntries: number;
}

function createContext(seed: number): HostContext {
  const ignore = () => undefined;
  const context = {
    settings: { hostId, timing: { electionTimeoutMs: 100, heartbeatMs: 20 } },
    clock: { nowMs: () => performance.now(), wallMs: () => Date.now() },
    random: createSeededRandom(seed),
    log: { debug: ignore, info: ignore, warn: ignore, error: ignore },
    record: ignore,
    metrics: createMetrics(),
  };
  return context as unknown as HostContext;
}

async function startMember(folder: string, seed: number): Promise<Member> {
  const machine = createControlMachine(() => true);
  const startedAtMs = performance.now();
  const opened = await openGroupStorage(folder, () => 'disk');
  if (opened.isErr()) throw new Error(opened.error.detail);
  const storage = opened.value;
  if (storage.stored().durable === undefined) {
    const joined = await storage.join('formation', createInitialState([`${hostId}/disk`]));
    if (joined.isErr()) throw new Error(joined.error.detail);
  }
  const replayedEntries = storage.stored().durable?.entries.length ?? 0;
  const task: ControlTask = startGroupTask({
    context: createContext(seed),
    groupId: 'control',
    machine,
    storage,
    sendBatch: async () => undefined,
    sendHeartbeats: () => true,
  });
  while (!task.isLeader()) await delay(pollMs);
  const read = await task.readBarrier(timeoutMs);
  if (read.isErr()) throw new Error(read.error.detail);
  return { machine, task, startMs: performance.now() - startedAtMs, replayedEntries };
}

async function submit(
  task: ControlTask,
  submissionId: string,
  baseVersions: Record<string, number>,
  sections: Record<string, unknown>,
  authority: 'team' | 'cluster' = 'team',
): Promise<void> {
  const submission = { submissionId, team, keyId, baseVersions, sections, signature: '' };
  const reply = await task.propose({ type: 'submission', submission, authority }, timeoutMs);
  const isAccepted = reply.isOk() && 'accepted' in reply.value && reply.value.accepted;
  if (!isAccepted) throw new Error(JSON.stringify(reply));
}

/** Submits the document, then changes one small section after the other. */
async function fill(task: ControlTask, changes: number): Promise<number> {
  const sections = Object.fromEntries(splitSections(createLargeDocument()));
  const names = Object.keys(sections);
  const none = Object.fromEntries(names.map((name) => [name, 0]));
  await submit(task, 'first-submission', none, sections, 'cluster');
  await delay(settleMs);
  const blocked = monitorEventLoopDelay({ resolution: 1 });
  blocked.enable();
  const traffic = names.filter((name) => name.startsWith('traffic/'));
  for (let change = 0; change < changes; change += 1) {
    const name = traffic[change % traffic.length] ?? '';
    await submit(task, `change-${change}-bench`, { [name]: 1 }, { [name]: sections[name] });
  }
  await delay(settleMs);
  blocked.disable();
  return blocked.max / nsPerMs;
}

/**
 * Measures a state of full size.
 *
 * @param changes - changes after the document
 * @param seed - seed of the election timeouts
 */
export async function measureLargeState(changes: number, seed: number): Promise<ReportRow> {
  const folder = await mkdtemp(`${tmpdir()}/bl-bench-state-`);
  try {
    const first = await startMember(folder, seed);
    const longestBlockMs = await fill(first.task, changes);
    const version = first.machine.documents.currentVersion();
    await first.task.stop();
    const again = await startMember(folder, seed);
    const isWhole = again.machine.documents.currentVersion() === version;
    await again.task.stop();
    if (!isWhole) throw new Error('the restart lost a change');
    const { startMs, replayedEntries } = again;
    return {
      condition: `one replica, 100,000 blocks and 3,700 sites, restart after ${changes} changes`,
      figures: { longestBlockMs, replayedEntries, startMs },
    };
  } finally {
    await rm(folder, { recursive: true });
  }
}
