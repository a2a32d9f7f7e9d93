/** A deterministic machine whose commands are replicated by a group. */
export interface ReplicatedMachine<Command, Reply> {
  /**
   * Applies a committed command. Must depend on nothing but the state and the command; a time, if
   * one is needed, stands in the command.
   *
   * @param command - committed command
   * @param logIndex - index of the command in the log
   */
  readonly apply: (command: Command, logIndex: number) => Reply;
  /** Answers a command that changes nothing; absent where the machine has none. */
  readonly read?: (command: Command) => Reply;
  /** The whole state as plain data, which later commands leave as it is. */
  readonly snapshot: () => unknown;
  /** Replaces the state by a decoded snapshot. */
  readonly restore: (snapshot: unknown) => void;
}
