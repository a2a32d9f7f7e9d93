/** A deterministic state machine whose commands are replicated by a group. */
export interface ReplicatedMachine<Command, Reply> {
  /**
   * Applies a committed command. The result may depend only on the state and the command, so a
   * command that needs a time has it as a field.
   *
   * @param logIndex - index of the command in the log
   */
  readonly apply: (command: Command, logIndex: number) => Reply;
  /** Evaluates a read-only command; absent if the machine has none. */
  readonly read?: (command: Command) => Reply;
  /** Returns the complete state as plain data that later commands do not modify. */
  readonly snapshot: () => unknown;
  /** Replaces the state with a decoded snapshot. */
  readonly restore: (snapshot: unknown) => void;
}
