/** A call was aborted: its caller hung up, or its deadline passed. */
export class CallAborted extends Error {
  readonly result: 'cancelled' | 'timedOut';

  constructor(result: 'cancelled' | 'timedOut') {
    super(result);
    this.result = result;
  }
}
