import type { HostRecord } from './hostTypes.js';

/**
 * Whether a host may receive new work: lookups return it and it may own pools. Suspected hosts are
 * included, since most suspicions are refuted, except hosts seen leaving before they fell silent.
 */
export function acceptsNewWork(host: HostRecord): boolean {
  if (host.isLeaving || !host.roles.includes('entry')) return false;
  return host.state === 'alive' || host.state === 'suspected';
}
