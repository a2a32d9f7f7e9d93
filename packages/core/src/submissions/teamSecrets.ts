import type { SteeringDocument, Teams } from '@buckthornlug/protocol/document/documentTypes.js';
import { teamsSchema } from '@buckthornlug/protocol/document/documentSchema.js';
import type { Fault } from '@buckthornlug/protocol/results/failure.js';
import type { Submission } from '@buckthornlug/protocol/submissions/submissionSchema.js';

/** Secrets of the teams: kept by the control group, left out of what operators read. */

/**
 * Leaves out the secrets of all keys.
 *
 * @param document - document with or without secrets
 */
export function withoutSecrets(document: SteeringDocument): SteeringDocument {
  const teams = document.teams.map((team) => ({
    ...team,
    keys: team.keys.map(({ id }) => ({ id })),
  }));
  return { ...document, teams };
}

function findSecret(teams: Teams, teamId: string, keyId: string): string | undefined {
  const team = teams.find(({ id }) => id === teamId);
  return team?.keys.find(({ id }) => id === keyId)?.secret;
}

/**
 * Gives keys that were submitted without a secret the one that they have now.
 *
 * @param submission - submission; its content is not checked yet
 * @param current - accepted teams, if any
 */
export function withCurrentSecrets(submission: Submission, current: Teams | undefined): Submission {
  const parsed = teamsSchema.safeParse(submission.sections.teams);
  if (!parsed.success || current === undefined) return submission;
  const teams = parsed.data.map((team) => ({
    ...team,
    keys: team.keys.map(({ id, secret }) => {
      const effectiveSecret = secret ?? findSecret(current, team.id, id);
      return effectiveSecret === undefined ? { id } : { id, secret: effectiveSecret };
    }),
  }));
  return { ...submission, sections: { ...submission.sections, teams } };
}

/** Keys that have no secret. */
export function findMissingSecretFaults(teams: Teams): Fault[] {
  const faults: Fault[] = [];
  for (const [teamIndex, team] of teams.entries()) {
    for (const [keyIndex, { id, secret }] of team.keys.entries()) {
      if (secret !== undefined) continue;
      const path = `teams/${teamIndex}/keys/${keyIndex}/secret`;
      faults.push({ path, problem: `the new key "${id}" needs a secret` });
    }
  }
  return faults;
}
