import { readFile } from 'node:fs/promises';
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import type { ControlFleet } from '../../control/controlFleet.js';
import { atMost, type ReportBound, type ReportRow } from '../benchTypes.js';

/** Cost of hosts without any work: a leader, a follower, and a host without a replica. */

const settleMs = 20_000;
const idleMs = 20_000;
const clockTicksPerS = 100;
const msPerS = 1000;
const bytesPerMb = 1024 * 1024;
const cpuBoundPercent = 1.8;
const memoryBoundMb = 64;

interface Usage {
  readonly cpuS: number;
  readonly writtenBytes: number;
}

interface Memory {
  readonly residentMb: number;
  readonly heapUsedMb: number;
  readonly externalMb: number;
}

/** Processor time and bytes written by a process so far. */
async function usageOf(processId: number): Promise<Usage> {
  const stat = await readFile(`/proc/${processId}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  const io = await readFile(`/proc/${processId}/io`, 'utf8');
  const written = /wchar: (\d+)/.exec(io)?.[1];
  return { cpuS: ticks / clockTicksPerS, writtenBytes: Number(written) };
}

/** Memory of a process by its own metrics. */
async function memoryOf(fleet: ControlFleet, hostId: string): Promise<Memory> {
  const { address, port } = fleet.settingsOf(hostId).listen.admin;
  const reply = await request(`http://${address}:${port}/metrics`);
  const text = await reply.body.text();
  const megabytes = (name: string) => {
    const value = new RegExp(`^\\w*${name}(?:{[^}]*})? (\\S+)`, 'm').exec(text)?.[1];
    return Number(value) / bytesPerMb;
  };
  return {
    residentMb: megabytes('process_resident_bytes'),
    heapUsedMb: megabytes('process_heap_used_bytes'),
    externalMb: megabytes('process_external_bytes'),
  };
}

/**
 * Measures a fleet that has a document and no work.
 *
 * @param fleet - running fleet
 * @returns a row for each kind of host, and the bounds of the largest one
 */
export async function measureIdleMembers(
  fleet: ControlFleet,
): Promise<{ readonly rows: ReportRow[]; readonly bounds: ReportBound[] }> {
  await delay(settleMs);
  const leader = await fleet.leader();
  const follower = fleet.memberIds().find((hostId) => hostId !== leader) ?? '';
  const other = fleet.hostIds().find((hostId) => !fleet.memberIds().includes(hostId)) ?? '';
  const hostIds = [leader, follower, other];
  const usages = () =>
    Promise.all(hostIds.map((hostId) => usageOf(fleet.process(hostId).processId)));
  const before = await usages();
  await delay(idleMs);
  const after = await usages();
  const memory = await Promise.all(hostIds.map((hostId) => memoryOf(fleet, hostId)));
  const conditions = ['idle leader', 'idle follower', 'idle host without a replica'];
  const rows = conditions.map((condition, index) => {
    const spent = (field: keyof Usage) =>
      ((after[index]?.[field] ?? 0) - (before[index]?.[field] ?? 0)) / (idleMs / msPerS);
    const figures = {
      cpuPercent: spent('cpuS') * 100,
      writtenBytesPerS: spent('writtenBytes'),
      ...memory[index],
    };
    return { condition, figures };
  });
  const largest = (read: (row: ReportRow) => number) => Math.max(...rows.map(read));
  const heapMb = ({ figures }: ReportRow) =>
    Number(figures.heapUsedMb) + Number(figures.externalMb);
  return {
    rows,
    bounds: [
      atMost(
        'processor of an idle host, percent of a core',
        largest(({ figures }) => Number(figures.cpuPercent)),
        cpuBoundPercent,
      ),
      atMost('heap and external memory of an idle host, MB', largest(heapMb), memoryBoundMb),
      atMost(
        'resident memory of an idle host, MB',
        largest(({ figures }) => Number(figures.residentMb)),
        memoryBoundMb,
      ),
    ],
  };
}
