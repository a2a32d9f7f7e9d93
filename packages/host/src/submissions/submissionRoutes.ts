import { summarizeChange } from '@buckthornlug/core/changes/changes.js';
import { withoutSecrets } from '@buckthornlug/core/submissions/teamSecrets.js';
import type {
  AcceptedDocument,
  SubmissionOutcome,
} from '@buckthornlug/core/submissions/submissionTypes.js';
import { faultsOf } from '@buckthornlug/protocol/common/faults.js';
import { checkDocument } from '@buckthornlug/protocol/document/document.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import {
  submissionSchema,
  type Submission,
  type SubmissionReply,
} from '@buckthornlug/protocol/submissions/submissionSchema.js';
import type { Context, Hono } from 'hono';
import { err, ok, type Result, type ResultAsync } from 'neverthrow';

import { failureResponse } from '../admin/adminResponses.js';

/** Reads and commits on the control group that the routes use. */
export interface SubmissionRouteParts {
  readonly readDocument: () => ResultAsync<AcceptedDocument | undefined, Failure>;
  readonly readOutcome: (
    submissionId: string,
  ) => ResultAsync<SubmissionOutcome | undefined, Failure>;
  readonly submit: (submission: Submission) => ResultAsync<SubmissionReply, Failure>;
}

async function parseBody(request: Context): Promise<Result<unknown, Failure>> {
  try {
    return ok(await request.req.json());
  } catch {
    return err(failure('BL2001', 'the body is not valid JSON'));
  }
}

async function answerDocument(parts: SubmissionRouteParts): Promise<Response> {
  const read = await parts.readDocument();
  if (read.isErr()) return failureResponse(read.error);
  if (read.value === undefined) {
    return failureResponse(failure('BL2010', 'no document has been submitted yet'));
  }
  const { version, sectionVersions, document } = read.value;
  return Response.json({
    ...withoutSecrets(document),
    base: { version, sections: sectionVersions },
  });
}

async function answerCheck(parts: SubmissionRouteParts, request: Context): Promise<Response> {
  const body = await parseBody(request);
  if (body.isErr()) return failureResponse(body.error);
  const checked = checkDocument(body.value);
  if (checked.isErr()) return failureResponse(checked.error);
  const current = await parts.readDocument();
  const before = current.isOk() ? current.value?.document : undefined;
  if (before === undefined) return Response.json({ valid: true });
  return Response.json({
    valid: true,
    changes: summarizeChange(withoutSecrets(before), checked.value),
  });
}

async function answerSubmission(parts: SubmissionRouteParts, request: Context): Promise<Response> {
  const body = await parseBody(request);
  if (body.isErr()) return failureResponse(body.error);
  const parsed = submissionSchema.safeParse(body.value);
  if (!parsed.success) {
    const faults = faultsOf(parsed.error);
    return failureResponse(failure('BL2002', 'the submission is not valid', { faults }));
  }
  const accepted = await parts.submit(parsed.data);
  return accepted.isOk() ? Response.json(accepted.value) : failureResponse(accepted.error);
}

async function answerOutcome(parts: SubmissionRouteParts, request: Context): Promise<Response> {
  const submissionId = request.req.param('id') ?? '';
  const read = await parts.readOutcome(submissionId);
  if (read.isErr()) return failureResponse(read.error);
  if (read.value === undefined) {
    return failureResponse(
      failure('BL2012', `no outcome of submission "${submissionId}" is stored`),
    );
  }
  return read.value.accepted
    ? Response.json(read.value.reply)
    : failureResponse(read.value.failure);
}

/**
 * Registers the routes of the document and its submissions on the administration API.
 */
export function registerSubmissionRoutes(app: Hono, parts: SubmissionRouteParts): void {
  app.get('/v1/document', () => answerDocument(parts));
  app.post('/v1/document/check', (request) => answerCheck(parts, request));
  app.post('/v1/submissions', (request) => answerSubmission(parts, request));
  app.get('/v1/submissions/:id', (request) => answerOutcome(parts, request));
}
