/** Runs a function once after a time; returns a function that cancels it. */
export type SetTimer = (run: () => void, afterMs: number) => () => void;

/** Sets a timer of the process. */
export const setProcessTimer: SetTimer = (run, afterMs) => {
  const timer = setTimeout(run, afterMs);
  return () => clearTimeout(timer);
};
