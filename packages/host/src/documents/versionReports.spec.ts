import { failure } from '@buckthornlug/protocol/results/failure.js';
import test from 'ava';
import { errAsync, okAsync } from 'neverthrow';

import type { VersionReport } from './documentsSchema.js';
import { VersionReports } from './versionReports.js';

const members = ['m1', 'm2', 'm3'];
const manyHosts = 1200;

/** Members whose messages may be lost; counts the messages. */
class Members {
  messages = 0;

  lostTo: string | undefined;

  readonly known = new Map<string, Map<string, number>>(members.map((id) => [id, new Map()]));

  readonly reports: ReadonlyMap<string, VersionReports> = new Map(
    members.map((hostId) => [hostId, this.create(hostId)]),
  );

  async rounds(count: number): Promise<void> {
    for (let round = 0; round < count; round += 1) {
      for (const reports of this.reports.values()) await reports.passOn();
    }
  }

  private create(hostId: string): VersionReports {
    return new VersionReports({
      hostId,
      members,
      held: () => ({ incarnation: 1, version: 1, shiftRevision: 0 }),
      source: () => undefined,
      isKnown: () => true,
      noteVersions: (report) => {
        this.known.get(hostId)?.set(report.hostId, report.version);
        return true;
      },
      send: (memberId, page) => {
        this.messages += 1;
        if (memberId === this.lostTo) return errAsync(failure('BL6003', 'lost'));
        this.reports.get(memberId)?.note(hostId, page);
        return okAsync(undefined);
      },
    });
  }
}

function reportsAt(version: number): VersionReport[] {
  return Array.from({ length: manyHosts }, (_each, index) => ({
    hostId: `h${index}`,
    incarnation: 1,
    version,
    shiftRevision: 0,
  }));
}

function allKnow(group: Members, version: number): boolean {
  return members.every((member) => {
    const known = [...(group.known.get(member) ?? [])].filter(([hostId]) => hostId.startsWith('h'));
    return known.length === manyHosts && known.every(([, held]) => held === version);
  });
}

test('every member learns what hosts below another member hold', async (t) => {
  const group = new Members();
  group.reports.get('m1')!.note('control-1', reportsAt(1).slice(0, 700));
  group.reports.get('m2')!.note('control-2', reportsAt(1).slice(700));
  await group.rounds(1);
  t.true(allKnow(group, 1));
});

test('reports go round no circle: nothing new, no message', async (t) => {
  const group = new Members();
  group.reports.get('m1')!.note('control-1', reportsAt(1));
  await group.rounds(2);
  group.messages = 0;
  group.reports.get('m1')!.note('control-1', reportsAt(1));
  await group.rounds(5);
  t.is(group.messages, 0);
});

const losses = [
  { fault: 'a message is lost', lost: 'message', rounds: 1 },
  { fault: 'a message came to a process that has since restarted', lost: 'memory', rounds: 21 },
] as const;

for (const { fault, lost, rounds } of losses) {
  test(`a member that missed reports knows everything ${rounds} rounds later; fault: ${fault}`, async (t) => {
    const group = new Members();
    if (lost === 'message') group.lostTo = 'm3';
    group.reports.get('m1')!.note('control-1', reportsAt(2));
    await group.rounds(1);
    if (lost === 'memory') group.known.get('m3')!.clear();
    t.false(allKnow(group, 2));
    group.lostTo = undefined;
    await group.rounds(rounds);
    t.true(allKnow(group, 2));
  });
}

const ignoreSent = () => okAsync(undefined);

test('a late report of a former process is not passed on', async (t) => {
  const sent: VersionReport[] = [];
  const reports = new VersionReports({
    hostId: 'm1',
    members: ['m1', 'm2'],
    held: () => ({ incarnation: 1, version: 0, shiftRevision: 0 }),
    source: () => undefined,
    isKnown: () => true,
    noteVersions: () => true,
    send: (_to, page) => {
      sent.push(...page);
      return ignoreSent();
    },
  });
  const report = { hostId: 'h1', shiftRevision: 0 };
  reports.note('relay', [{ ...report, incarnation: 1, version: 5 }]);
  reports.note('relay', [{ ...report, incarnation: 2, version: 1 }]);
  reports.note('relay', [{ ...report, incarnation: 1, version: 5 }]);
  await reports.passOn();
  const ofHost = sent.filter(({ hostId }) => hostId === 'h1');
  t.deepEqual(ofHost, [{ ...report, incarnation: 2, version: 1 }]);
});

test('a report of a process that the membership hears of later is noted then', (t) => {
  const noted: number[] = [];
  let knownIncarnation = 1;
  const reports = new VersionReports({
    hostId: 'm1',
    members: ['m1'],
    held: () => ({ incarnation: 1, version: 0, shiftRevision: 0 }),
    source: () => undefined,
    isKnown: () => true,
    noteVersions: ({ incarnation, version }) => {
      if (incarnation > knownIncarnation) return false;
      noted.push(version);
      return true;
    },
    send: ignoreSent,
  });
  reports.note('relay', [{ hostId: 'h1', incarnation: 2, version: 4, shiftRevision: 0 }]);
  reports.noteAgain();
  t.deepEqual(noted, []);
  knownIncarnation = 2;
  reports.noteAgain();
  reports.noteAgain();
  t.deepEqual(noted, [4]);
});
