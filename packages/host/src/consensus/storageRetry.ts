/**
 * Pause after a failed write before the next attempt. A replica counts as lost until then, so a long pause
 * makes disks that are full one after another lose a quorum together.
 */
export const storageRetryDelayMs = 250;
