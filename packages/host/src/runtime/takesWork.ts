import type { HostRecord } from './hostTypes.js';

/**
 * Tells whether a host may get new work: look-ups name it and pools go to it. A suspected host may,
 * since most suspicions are contradicted, unless it was seen leaving before it fell silent.
 *
 * @param host - host as the membership sees it
 */
export function takesWork(host: HostRecord): boolean {
  if (host.isLeaving || !host.roles.includes('entry')) return false;
  return host.state === 'alive' || host.state === 'suspected';
}
