import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { monitorEventLoopDelay } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

import { createInitialState } from '@buckthornlug/host/consensus/formation.js';
import { openGroupStorage } from '@buckthornlug/host/consensus/groupStorage.js';
import { startGroupTask } from '@buckthornlug/host/consensus/groupTask.js';
import type { GroupTask } from '@buckthornlug/host/consensus/groupTaskTypes.js';
import type { GroupStorage } from '@buckthornlug/host/consensus/storageTypes.js';
import { routedFeatures } from '@buckthornlug/host/features.js';
import { createMetrics } from '@buckthornlug/host/metrics/metrics.js';
import type { HostContext } from '@buckthornlug/host/runtime/hostTypes.js';
import { startHost } from '@buckthornlug/host/runtime/hostRuntime.js';
import { failure } from '@buckthornlug/protocol/results/failure.js';
import { routingSettingsSchema } from '@buckthornlug/protocol/settings/settingsSchema.js';
import test, { type ExecutionContext } from 'ava';
import { errAsync, type ResultAsync } from 'neverthrow';

import { createFleetSettings } from '../fakes/hostSettings.js';
import { timeUntil } from '../time/timeUntil.js';

/** Disks that are full for a time: what was acknowledged stays, and changes are taken again afterwards. */

const timing = { electionTimeoutMs: 300, heartbeatMs: 50 };
const hostIds = ['c1', 'c2', 'c3'];
const commandIntervalMs = 50;
const commandTimeoutMs = 500;
const fullForMs = 1500;
const pauseMs = 500;
/** Longest time without a commit: two elections, since the disk of the next leader may fill up as well. */
const maxCommitGapMs = 2500;

async function newFolder(t: ExecutionContext): Promise<string> {
  const folder = await mkdtemp(join(tmpdir(), 'bl-full-'));
  t.teardown(() => rm(folder, { recursive: true }));
  return folder;
}

function createContext(hostId: string): HostContext {
  const settings = createFleetSettings(
    hostIds.map((id) => ({ hostId: id, region: 'north', availabilityZone: 'north-a' })),
    { timing },
  ).find((one) => one.hostId === hostId);
  const ignore = () => undefined;
  const context: Partial<HostContext> = {
    ...(settings === undefined ? {} : { settings }),
    clock: { nowMs: () => performance.now(), wallMs: () => Date.now() },
    random: Math.random,
    log: { debug: ignore, info: ignore, warn: ignore, error: ignore },
    record: ignore,
    metrics: createMetrics(),
  };
  return context as HostContext;
}

/** Longest write of the disks, and longest time for which this process did not run. */
class MachineDelays {
  private longestWriteMs = 0;

  private readonly eventLoop = monitorEventLoopDelay();

  constructor() {
    this.eventLoop.enable();
  }

  /** Measures a write. */
  timed<Failed>(result: ResultAsync<void, Failed>): ResultAsync<void, Failed> {
    const startedAtMs = performance.now();
    return result.andTee(() => {
      this.longestWriteMs = Math.max(this.longestWriteMs, performance.now() - startedAtMs);
    });
  }

  describe(): string {
    const longestStallMs = this.eventLoop.max / 1e6;
    return `longest write ${Math.round(this.longestWriteMs)} ms, longest stall ${Math.round(longestStallMs)} ms`;
  }
}

/** A storage that refuses every write while its disk is full. */
function fillable(
  storage: GroupStorage,
  isFull: () => boolean,
  machineDelays: MachineDelays,
): GroupStorage {
  const refused = () => errAsync(failure('BL5004', 'no space left on device'));
  return {
    ...storage,
    write: (effects) => (isFull() ? refused() : machineDelays.timed(storage.write(effects))),
    rewrite: (state) => (isFull() ? refused() : machineDelays.timed(storage.rewrite(state))),
  };
}

test('disks that are full one after another never stop a group for longer than elections take', async (t) => {
  const folder = await newFolder(t);
  const tasks = new Map<string, GroupTask<number, number>>();
  t.teardown(() => Promise.all([...tasks.values()].map((task) => task.stop())));
  const machineDelays = new MachineDelays();
  const fullDisks = new Set<string>();
  const applied = new Map<string, number[]>();
  const storages = await Promise.all(
    hostIds.map(async (hostId) =>
      (await openGroupStorage(join(folder, hostId), () => 'disk1'))._unsafeUnwrap(),
    ),
  );
  const initial = createInitialState(hostIds.map((hostId) => `${hostId}/disk1`));
  for (const [index, storage] of storages.entries()) {
    const hostId = hostIds[index] ?? '';
    (await storage.join('formation', initial))._unsafeUnwrap();
    const commands: number[] = [];
    applied.set(hostId, commands);
    const task = startGroupTask<number, number>({
      context: createContext(hostId),
      groupId: 'control',
      machine: {
        apply: (command) => commands.push(command),
        snapshot: () => [...commands],
        restore: (snapshot) => commands.splice(0, commands.length, ...(snapshot as number[])),
      },
      storage: fillable(storage, () => fullDisks.has(hostId), machineDelays),
      sendBatch: async (to, messages) => {
        const replies = (await tasks.get(to)?.exchange(hostId, messages)) ?? [];
        tasks.get(hostId)?.deliver(replies);
      },
      sendHeartbeats: () => false,
    });
    tasks.set(hostId, task);
  }
  const leader = () => [...tasks.values()].find((task) => task.isLeader());
  t.not(await timeUntil(() => leader() !== undefined), Infinity);

  const acknowledged: number[] = [];
  let lastCommitAtMs = performance.now();
  let longestGapMs = 0;
  let isProposing = true;
  const propose = async () => {
    for (let command = 1; isProposing; command += 1) {
      const result = await leader()?.propose(command, commandTimeoutMs);
      if (result?.isOk() === true) {
        acknowledged.push(command);
        longestGapMs = Math.max(longestGapMs, performance.now() - lastCommitAtMs);
        lastCommitAtMs = performance.now();
      }
      await delay(commandIntervalMs);
    }
  };
  const proposing = propose();
  for (const hostId of [...hostIds, ...hostIds]) {
    fullDisks.add(hostId);
    await delay(fullForMs);
    fullDisks.delete(hostId);
    await delay(pauseMs);
  }
  isProposing = false;
  await proposing;
  longestGapMs = Math.max(longestGapMs, performance.now() - lastCommitAtMs);
  const delays = machineDelays.describe();
  t.true(longestGapMs <= maxCommitGapMs, `no commit for ${Math.round(longestGapMs)} ms, ${delays}`);
  const holdsAll = () =>
    [...applied.values()].every((commands) => {
      const held = new Set(commands);
      return acknowledged.every((command) => held.has(command));
    });
  t.not(await timeUntil(holdsAll), Infinity, `acknowledged commands are missing, ${delays}`);
});

test('a host that starts on a full disk joins its group once the disk has room', async (t) => {
  const folder = await newFolder(t);
  const place = { region: 'north', availabilityZone: 'north-a' };
  const [settings] = createFleetSettings([{ hostId: 'c1', ...place, roles: ['control'] }], {
    dataFolder: folder,
    timing,
    groups: [{ id: 'control', members: ['c1'], admitsControlHosts: true }],
  });
  if (settings === undefined) throw new Error('the settings are missing');
  // A file where the folder belongs refuses every write below it.
  const blockedPath = join(folder, 'c1', 'groups');
  await mkdir(join(folder, 'c1'));
  await writeFile(blockedPath, '');
  const routing = routingSettingsSchema.parse({ regionOfZone: { 'north-a': 'north' } });
  const started = await startHost({ ...settings, routing }, { features: routedFeatures });
  const host = started._unsafeUnwrap();
  t.teardown(() => host.stop());
  await delay(200);
  t.false(host.parts.control?.isLeader() ?? false);
  await rm(blockedPath);
  t.not(await timeUntil(() => host.parts.control?.isLeader() ?? false), Infinity);
});
