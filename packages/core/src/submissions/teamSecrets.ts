import type { SteeringDocument, Teams } from '@buckthornlug/protocol/document/documentTypes.js';
import { teamsSchema } from '@buckthornlug/protocol/document/documentSchema.js';
import type { Fault } from '@buckthornlug/protocol/results/failure.js';
import type { Submission } from '@buckthornlug/protocol/submissions/submissionSchema.js';

/** Secrets of the teams: stored by the control group, omitted from documents for operators. */

/** Omits the secrets of all keys. */
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
 * Fills in the current secret of each key that is submitted without one.
 *
 * @param submission - submission whose content may be invalid
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

/** Finds keys without a secret. */
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
