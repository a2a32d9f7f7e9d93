/** A credit that another availability zone granted to this one. */
export interface HeldCredit {
  readonly creditId: string;
  readonly hostId: string;
  readonly availabilityZone: string;
  readonly rank: number;
  /** Time after which the credit could expire before a call sent with it arrives. */
  readonly useBeforeMs: number;
}

/** Credits that a pool owner holds for calls to other availability zones. */
export class HeldCredits {
  private held: HeldCredit[] = [];

  add(credits: readonly HeldCredit[]): void {
    this.held.push(...credits);
  }

  /**
   * Takes a credit of exactly this rank; a call does not use credits of less urgent ranks.
   *
   * @param isExcluded - whether the call must not go to a host
   */
  take(
    rank: number,
    nowMs: number,
    isExcluded: (hostId: string) => boolean,
  ): HeldCredit | undefined {
    this.removeExpired(nowMs);
    for (const [index, credit] of this.held.entries()) {
      if (credit.rank !== rank || isExcluded(credit.hostId)) continue;
      this.held.splice(index, 1);
      return credit;
    }
    return undefined;
  }

  /** Number of credits held for a rank. */
  count(rank: number, nowMs: number): number {
    this.removeExpired(nowMs);
    let count = 0;
    for (const credit of this.held) {
      if (credit.rank === rank) count += 1;
    }
    return count;
  }

  private removeExpired(nowMs: number): void {
    if (this.held.length === 0) return;
    this.held = this.held.filter((credit) => nowMs < credit.useBeforeMs);
  }
}
