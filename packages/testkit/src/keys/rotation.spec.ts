import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';

import { signSubmission } from '@buckthornlug/core/submissions/submissionSignature.js';
import type { SteeringDocument, Teams } from '@buckthornlug/protocol/document/documentTypes.js';
import test from 'ava';

import {
  blocksSubmission,
  createControlFleet,
  exampleDocument,
  firstSubmission,
} from '../control/controlFleet.js';
import { deploymentKeys } from '../deployment/deployment.js';
import { loopbackNetwork } from '../fakes/loopback.js';

const outsider = 'abuja-b-1';
const clusterKeys = {
  old: deploymentKeys.cluster,
  next: { id: 'cluster-2', secret: 'next'.repeat(8) },
};
const nextTeamKey = { id: 'team-next', secret: 'next-secret-of-the-team' };

test('a cluster key and a team key are replaced while submissions go on, and no secret is read', async (t) => {
  t.timeout(180_000);
  const workFolder = await mkdtemp(`${tmpdir()}/bl-rotation-`);
  const fleet = createControlFleet(loopbackNetwork(process.pid), workFolder);
  t.teardown(async () => {
    await fleet.kill();
    await rm(workFolder, { recursive: true });
  });
  await fleet.start();
  const document = await exampleDocument();
  t.is((await fleet.ask(outsider, '/v1/submissions', firstSubmission(document))).status, 200);

  const { old, next } = clusterKeys;
  for (const [phase, keys] of [[old, next], [next, old], [next]].entries()) {
    for (const hostId of fleet.hostIds()) {
      await fleet.restartWith(hostId, { clusterKeys: keys });
      const submission = blocksSubmission(
        document,
        `phase-${phase}-${hostId}`,
        0,
        `${phase}-${hostId}`,
      );
      const answer = await fleet.ask(hostId, '/v1/submissions', submission);
      t.is(answer.status, 200, `phase ${phase}, ${hostId}: ${JSON.stringify(answer.body)}`);
    }
  }
  await fleet.restartWith(outsider, { clusterKeys: [old] });
  const late = blocksSubmission(document, 'withdrawn-key', 0, 'withdrawn');
  t.not((await fleet.ask(outsider, '/v1/submissions', late)).status, 200);
  await fleet.restartWith(outsider, { clusterKeys: [next] });

  const readTeams = async () => {
    const { body } = await fleet.ask(outsider, '/v1/document');
    const text = JSON.stringify(body);
    for (const { secret = '' } of document.teams.flatMap(({ keys }) => keys)) {
      t.false(text.includes(secret));
    }
    t.false(text.includes(nextTeamKey.secret));
    const { teams, base } = body as SteeringDocument;
    return { teams, baseVersion: base?.sections.teams ?? 0 };
  };
  const [owner] = document.teams;
  const [oldTeamKey] = owner?.keys ?? [];
  const submitTeams = async (
    id: string,
    key: { id: string; secret?: string },
    change: (keys: Teams[number]['keys']) => Teams[number]['keys'],
  ) => {
    const { teams, baseVersion } = await readTeams();
    const edited = teams.map((team) =>
      team.id === owner?.id ? { ...team, keys: change(team.keys) } : team,
    );
    const body = {
      submissionId: id,
      team: owner?.id ?? '',
      keyId: key.id,
      baseVersions: { teams: baseVersion },
      sections: { teams: edited },
    };
    return (await fleet.ask(outsider, '/v1/submissions', signSubmission(body, key.secret ?? '')))
      .status;
  };
  const oldKey = oldTeamKey ?? nextTeamKey;
  t.is(
    await submitTeams('new-key-without-secret', oldKey, (keys) => [...keys, { id: 'bare' }]),
    400,
  );
  t.is(await submitTeams('add-team-key', oldKey, (keys) => [...keys, nextTeamKey]), 200);
  t.is(await submitTeams('first-by-next', nextTeamKey, (keys) => [...keys].reverse()), 200);
  t.is(await submitTeams('last-by-old', oldKey, (keys) => [...keys].reverse()), 200);
  t.is(
    await submitTeams('withdraw-old', nextTeamKey, (keys) =>
      keys.filter(({ id }) => id !== oldKey.id),
    ),
    200,
  );
  t.is(await submitTeams('withdrawn-key-used', oldKey, (keys) => keys), 401);
  t.is(await submitTeams('by-next-at-last', nextTeamKey, (keys) => keys), 200);
});
