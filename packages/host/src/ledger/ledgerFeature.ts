import { setTimeout as delay } from 'node:timers/promises';

import { retireIntervalMs } from '@buckthornlug/core/ledger/ledgerLimits.js';
import { createLedgerMachine } from '@buckthornlug/core/ledger/ledgerMachine.js';
import { okAsync } from 'neverthrow';

import { controlGroupId } from '../consensus/controlGroupId.js';
import type { Feature, HostParts } from '../runtime/hostParts.js';
import type { HostContext } from '../runtime/hostTypes.js';
import { LedgerTask } from './ledgerTask.js';
import type { LedgerGroup, Sleep } from './ledgerTaskTypes.js';

const sleep: Sleep = async (durationMs, signal) => {
  await delay(durationMs, undefined, signal === undefined ? {} : { signal }).catch(() => undefined);
};

/** Opens the ledger groups that the settings list. */
function openLedgerGroups(context: HostContext, parts: HostParts): Map<string, LedgerGroup> {
  const groups = new Map<string, LedgerGroup>();
  for (const { id } of context.settings.groups) {
    if (id !== controlGroupId) groups.set(id, parts.openGroup(id, createLedgerMachine()));
  }
  return groups;
}

/** The ledger of once-only work: commits intents before dispatch and outcomes before answers. */
export const ledgerFeature: Feature = {
  name: 'ledger',
  isEnabled: (settings) => settings.groups.some((group) => group.id !== controlGroupId),
  start: (context, parts) => {
    const groups = openLedgerGroups(context, parts);
    const task = new LedgerTask({
      context,
      findGroup: (groupId) => groups.get(groupId),
      membership: () => parts.membership,
      sleep,
    });
    parts.provide({ ledger: task });
    for (const group of groups.values()) task.declareFormerIntentsLost(group);
    const timer = setInterval(() => {
      for (const group of groups.values()) {
        if (group.isLeader()) task.retire(group).catch(() => undefined);
      }
    }, retireIntervalMs);
    const drain = async () => {
      const timeout = new AbortController();
      await Promise.race([
        task.drain(),
        sleep(context.settings.timing.stopGraceMs, timeout.signal),
      ]);
      timeout.abort();
    };
    return okAsync({
      name: 'ledger',
      stopSteps: {
        finishCalls: drain,
        handOver: drain,
        closeTasks: async () => {
          clearInterval(timer);
          task.stop();
        },
      },
      status: () => ({ openIntents: task.openIntents(), groups: [...groups.keys()] }),
    });
  },
};
