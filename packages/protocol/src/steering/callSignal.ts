/** Tells of the abort of a call: the part of an `AbortSignal` that the path of a call uses. */
export interface CallSignal {
  readonly aborted: boolean;
  /** Why the call was aborted; undefined until then. */
  readonly reason: unknown;
  readonly addEventListener: (type: 'abort', listener: () => void) => void;
  readonly removeEventListener: (type: 'abort', listener: () => void) => void;
}
