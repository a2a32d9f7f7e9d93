import { checkSettings } from '@buckthornlug/protocol/settings/settings.js';
import type { EventInput } from '@buckthornlug/protocol/events/eventSchema.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type {
  LedgerKey,
  LedgerOutcome,
  StoredAnswer,
} from '@buckthornlug/protocol/steering/ledgerTypes.js';
import { LedgerTask } from '@buckthornlug/host/ledger/ledgerTask.js';
import type { LedgerGroup } from '@buckthornlug/host/ledger/ledgerTaskTypes.js';
import { createMetrics } from '@buckthornlug/host/metrics/metrics.js';

import { ProcessTime } from '../time/processTime.js';
import type { VirtualTime } from '../time/virtualTime.js';

/** What a caller gets: a whole answer or a failure. */
export type OnceReply =
  | { readonly reply: 'answer'; readonly answer: StoredAnswer }
  | { readonly reply: 'failure'; readonly failure: Failure };

/** Sends work to a backend server and tells how it ended. */
export type RunWork = (
  identity: string,
  intentId: string,
  processTime: ProcessTime,
) => Promise<LedgerOutcome>;

/** A moment of a call at which a test may interfere with the host. */
export type OnceMoment = 'beforeDispatch' | 'afterAnswer' | 'afterOutcome';

/** What a host of the test is given. */
export interface OnceHostParts {
  readonly hostId: string;
  readonly incarnation: number;
  readonly time: VirtualTime;
  readonly groupFor: (groupId: string, processTime: ProcessTime) => LedgerGroup | undefined;
  readonly findHost: (hostId: string) => { incarnation: number; state: 'alive' | 'failed' };
  readonly runWork: RunWork;
  readonly onMoment: (moment: OnceMoment, host: OnceHost) => void;
  readonly record: (event: EventInput) => void;
}

const silentLog = {
  debug: () => undefined,
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

function buildSettings(hostId: string) {
  const checked = checkSettings({
    hostId,
    region: 'r',
    availabilityZone: 'z',
    roles: ['entry'],
    listen: {
      callers: { address: '127.0.0.1', port: 1 },
      internal: { address: '127.0.0.1', port: 2 },
      admin: { address: '127.0.0.1', port: 3 },
    },
    clusterKeys: [{ id: 'key', secret: '0123456789abcdef' }],
    announceKeys: [{ id: 'key', secret: '0123456789abcdef' }],
  });
  if (checked.isErr()) throw new Error(checked.error.detail);
  return checked.value;
}

/** A process that takes once-only calls with the real ledger task, in virtual time. */
export class OnceHost {
  readonly processTime: ProcessTime;

  readonly task: LedgerTask;

  constructor(private readonly parts: OnceHostParts) {
    const { time, hostId, incarnation } = parts;
    this.processTime = new ProcessTime(time);
    this.task = new LedgerTask({
      context: {
        settings: buildSettings(hostId),
        incarnation,
        clock: { nowMs: () => time.nowMs, wallMs: () => time.nowMs },
        record: parts.record,
        metrics: createMetrics(),
        log: silentLog,
      },
      findGroup: (groupId) => parts.groupFor(groupId, this.processTime),
      membership: () => ({ find: (id) => parts.findHost(id) as never }),
      sleep: (durationMs) =>
        new Promise((resolve) => {
          this.processTime.schedule(durationMs, resolve);
        }),
    });
  }

  get incarnation(): number {
    return this.parts.incarnation;
  }

  /** Takes one call as the path does. */
  async call(key: LedgerKey, groups: readonly string[], deadlineAtMs: number): Promise<OnceReply> {
    const decision = await this.task.begin(key, groups, deadlineAtMs);
    if (decision.decision === 'refused') return { reply: 'failure', failure: decision.failure };
    if (decision.decision === 'replay') return { reply: 'answer', answer: decision.answer };
    this.parts.onMoment('beforeDispatch', this);
    await this.running();
    const outcome = await this.parts.runWork(key.identity, decision.intentId, this.processTime);
    this.parts.onMoment('afterAnswer', this);
    await this.running();
    const finished = await this.task.finish(decision.intentId, outcome);
    this.parts.onMoment('afterOutcome', this);
    if (outcome.outcome === 'notRun') {
      return { reply: 'failure', failure: failure('BL3015', 'refused by the backend server') };
    }
    if (outcome.outcome === 'answered' && finished.isOk()) {
      return { reply: 'answer', answer: outcome.answer };
    }
    return { reply: 'failure', failure: failure('BL9002', 'the outcome is not known') };
  }

  /** Resolves while the process runs: never once it is killed, later while it is paused. */
  private running(): Promise<void> {
    return new Promise((resolve) => {
      this.processTime.schedule(0, resolve);
    });
  }
}
