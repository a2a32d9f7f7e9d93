/**
 * A call was aborted: its caller hung up, or its deadline passed. An attempt is `outpaced` when another
 * attempt of its call answered first.
 */
export class CallAborted extends Error {
  readonly result: 'cancelled' | 'timedOut' | 'outpaced';

  constructor(result: CallAborted['result']) {
    super(result);
    this.result = result;
  }
}
