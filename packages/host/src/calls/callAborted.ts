/**
 * Reason of an abort. `cancelled`: the caller closed the connection. `timedOut`: the deadline passed.
 * `stopping`: the host ends before the call.
 * `outpaced`: another attempt of the same call answered first, so only this attempt is aborted.
 */
export class CallAborted extends Error {
  readonly result: 'cancelled' | 'timedOut' | 'stopping' | 'outpaced';

  constructor(result: CallAborted['result']) {
    super(result);
    this.result = result;
  }
}
