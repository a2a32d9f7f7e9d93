/** Abort signal of a call: the part of `AbortSignal` that call handling uses. */
export interface CallSignal {
  readonly aborted: boolean;
  /** Why the call was aborted; undefined until then. */
  readonly reason: unknown;
  readonly addEventListener: (type: 'abort', listener: () => void) => void;
  readonly removeEventListener: (type: 'abort', listener: () => void) => void;
}
