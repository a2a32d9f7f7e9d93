import { setTimeout as delay } from 'node:timers/promises';

import { relaysOf, type HostRelays } from '../fakes/hostRelays.js';
import type { Draws } from '../random/draws.js';
import type { OnceHostProcess } from './onceHostProcess.js';

/** What was done to the hosts. */
export interface OnceFaultCounts {
  readonly kills: number;
  readonly pauses: number;
  readonly cuts: number;
  readonly emptiedDisks: number;
}

const longestPauseMs = 3000;

/** Kills, pauses and cuts hosts, and empties a disk. */
export class OnceProcessFaults {
  private kills = 0;

  private pauses = 0;

  private cuts = 0;

  private emptiedDisks = 0;

  constructor(
    private readonly draws: Draws,
    private readonly relays: HostRelays,
  ) {}

  counts(): OnceFaultCounts {
    const { kills, pauses, cuts, emptiedDisks } = this;
    return { kills, pauses, cuts, emptiedDisks };
  }

  /** Kills, cuts off or pauses a host, and ends the fault again. */
  async bringAbout(host: OnceHostProcess, startMs: number): Promise<void> {
    await delay(startMs);
    if (!host.isRunning) return;
    const fault = this.draws.below(3);
    if (fault === 0) await this.kill(host);
    else if (fault === 1) await this.cutOff(host);
    else await this.pause(host);
  }

  /** Empties the disk of a host and starts it again. */
  async emptyDisk(host: OnceHostProcess): Promise<void> {
    this.emptiedDisks += 1;
    host.resume();
    await host.loseDisk();
    await host.start();
  }

  private async kill(host: OnceHostProcess): Promise<void> {
    const { startCount } = host;
    this.kills += 1;
    await host.kill();
    await delay(this.draws.between(50, 600));
    if (host.startCount === startCount) await host.start();
  }

  private async cutOff(host: OnceHostProcess): Promise<void> {
    const relays = relaysOf(this.relays, host.settings.hostId);
    this.cuts += 1;
    for (const relay of relays) relay.stall('forth', 'back');
    await delay(this.draws.between(100, longestPauseMs));
    for (const relay of relays) relay.heal();
  }

  private async pause(host: OnceHostProcess): Promise<void> {
    const { startCount } = host;
    this.pauses += 1;
    host.pause();
    await delay(this.draws.between(100, longestPauseMs));
    if (host.startCount === startCount) host.resume();
  }
}
