import { failure } from '@buckthornlug/protocol/results/failure.js';
import test from 'ava';
import { errAsync, okAsync } from 'neverthrow';

import type { VersionReport } from './documentsSchema.js';
import { VersionReports } from './versionReports.js';

const members = ['m1', 'm2', 'm3'];
const manyHosts = 1200;

/** Members of the control group; messages to one of them may be lost. Counts the messages. */
class MemberGroup {
  messages = 0;

  unreachableMember: string | undefined;

  readonly recordedVersions = new Map<string, Map<string, number>>(
    members.map((id) => [id, new Map()]),
  );

  readonly reports: ReadonlyMap<string, VersionReports> = new Map(
    members.map((hostId) => [hostId, this.create(hostId)]),
  );

  async runRounds(count: number): Promise<void> {
    for (let round = 0; round < count; round += 1) {
      for (const reports of this.reports.values()) await reports.forward();
    }
  }

  private create(hostId: string): VersionReports {
    return new VersionReports({
      hostId,
      members,
      held: () => ({ incarnation: 1, version: 1, shiftRevision: 0 }),
      source: () => undefined,
      isParticipating: () => true,
      recordVersions: (report) => {
        this.recordedVersions.get(hostId)?.set(report.hostId, report.version);
        return true;
      },
      send: (memberId, page) => {
        this.messages += 1;
        if (memberId === this.unreachableMember) return errAsync(failure('BL6003', 'lost'));
        this.reports.get(memberId)?.record(hostId, page);
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

function allMembersKnow(group: MemberGroup, version: number): boolean {
  return members.every((member) => {
    const known = [...(group.recordedVersions.get(member) ?? [])].filter(([hostId]) =>
      hostId.startsWith('h'),
    );
    return known.length === manyHosts && known.every(([, held]) => held === version);
  });
}

test('every member learns the versions of the hosts that report to another member', async (t) => {
  const group = new MemberGroup();
  group.reports.get('m1')!.record('control-1', reportsAt(1).slice(0, 700));
  group.reports.get('m2')!.record('control-2', reportsAt(1).slice(700));
  await group.runRounds(1);
  t.true(allMembersKnow(group, 1));
});

test('a report that repeats known versions causes no message between members', async (t) => {
  const group = new MemberGroup();
  group.reports.get('m1')!.record('control-1', reportsAt(1));
  await group.runRounds(2);
  group.messages = 0;
  group.reports.get('m1')!.record('control-1', reportsAt(1));
  await group.runRounds(5);
  t.is(group.messages, 0);
});

const losses = [
  { fault: 'a message is lost', lost: 'message', rounds: 1 },
  { fault: 'the member restarted after it had received a message', lost: 'memory', rounds: 21 },
] as const;

for (const { fault, lost, rounds } of losses) {
  test(`a member that lost reports has all of them ${rounds} rounds later; fault: ${fault}`, async (t) => {
    const group = new MemberGroup();
    if (lost === 'message') group.unreachableMember = 'm3';
    group.reports.get('m1')!.record('control-1', reportsAt(2));
    await group.runRounds(1);
    if (lost === 'memory') group.recordedVersions.get('m3')!.clear();
    t.false(allMembersKnow(group, 2));
    group.unreachableMember = undefined;
    await group.runRounds(rounds);
    t.true(allMembersKnow(group, 2));
  });
}

const acceptMessage = () => okAsync(undefined);

test('a delayed report of an earlier process is not forwarded', async (t) => {
  const sent: VersionReport[] = [];
  const reports = new VersionReports({
    hostId: 'm1',
    members: ['m1', 'm2'],
    held: () => ({ incarnation: 1, version: 0, shiftRevision: 0 }),
    source: () => undefined,
    isParticipating: () => true,
    recordVersions: () => true,
    send: (_to, page) => {
      sent.push(...page);
      return acceptMessage();
    },
  });
  const report = { hostId: 'h1', shiftRevision: 0 };
  reports.record('relay', [{ ...report, incarnation: 1, version: 5 }]);
  reports.record('relay', [{ ...report, incarnation: 2, version: 1 }]);
  reports.record('relay', [{ ...report, incarnation: 1, version: 5 }]);
  await reports.forward();
  const ofHost = sent.filter(({ hostId }) => hostId === 'h1');
  t.deepEqual(ofHost, [{ ...report, incarnation: 2, version: 1 }]);
});

test('a report of a process unknown to the membership is recorded once the process is known', (t) => {
  const recorded: number[] = [];
  let knownIncarnation = 1;
  const reports = new VersionReports({
    hostId: 'm1',
    members: ['m1'],
    held: () => ({ incarnation: 1, version: 0, shiftRevision: 0 }),
    source: () => undefined,
    isParticipating: () => true,
    recordVersions: ({ incarnation, version }) => {
      if (incarnation > knownIncarnation) return false;
      recorded.push(version);
      return true;
    },
    send: acceptMessage,
  });
  reports.record('relay', [{ hostId: 'h1', incarnation: 2, version: 4, shiftRevision: 0 }]);
  reports.recordEarlyReports();
  t.deepEqual(recorded, []);
  knownIncarnation = 2;
  reports.recordEarlyReports();
  reports.recordEarlyReports();
  t.deepEqual(recorded, [4]);
});
