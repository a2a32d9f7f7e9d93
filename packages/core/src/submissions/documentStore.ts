import type {
  SectionName,
  SteeringDocument,
  Teams,
  VersionedSection,
} from '@buckthornlug/protocol/document/documentTypes.js';
import { joinSections, sectionOf } from '@buckthornlug/protocol/document/sections.js';
import { failure, type Failure } from '@buckthornlug/protocol/results/failure.js';
import type { Submission } from '@buckthornlug/protocol/submissions/submissionSchema.js';
import { err, ok, type Result } from 'neverthrow';

import { RetiredServices } from './retiredServices.js';
import { withCurrentSecrets } from './teamSecrets.js';
import {
  checkBaseVersions,
  checkDocumentAfter,
  checkOwnership,
  checkSignature,
} from './submissionChecks.js';
import { digestSubmission, type VerifySubmission } from './submissionSignature.js';
import type {
  AcceptedDocument,
  DocumentsSnapshot,
  RecordedOutcome,
  SubmissionCommand,
  SubmissionOutcome,
} from './submissionTypes.js';

/** Maximum number of outcomes recorded for resends; the oldest are dropped first. */
const maxRecordedOutcomes = 10_000;

/** The document as versioned sections, and the recorded outcomes of submissions. */
export class DocumentStore {
  private version = 0;

  /** Removed sections stay with content null. */
  private sections = new Map<SectionName, VersionedSection>();

  /** Recorded outcomes by submission id, oldest first. */
  private answers = new Map<string, RecordedOutcome>();

  private readonly retired = new RetiredServices();

  private cachedDocument: SteeringDocument | undefined;

  private accepted: AcceptedDocument | undefined;

  constructor(private readonly verify: VerifySubmission) {}

  /** Accepts or refuses a submission. A resend gets the recorded outcome of the first attempt. */
  submit(command: SubmissionCommand): SubmissionOutcome {
    const { submission } = command;
    const digest = digestSubmission(submission);
    const recorded = this.answers.get(submission.submissionId);
    if (recorded !== undefined) return DocumentStore.answerResend(recorded, digest);
    const authorized = this.authorize(command);
    if (authorized.isErr()) return { accepted: false, failure: authorized.error };
    const outcome = this.decide(submission);
    this.recordOutcome({ submissionId: submission.submissionId, digest, outcome });
    return outcome;
  }

  private static answerResend(recorded: RecordedOutcome, digest: string): SubmissionOutcome {
    if (recorded.digest === digest) return recorded.outcome;
    const idInUse = failure(
      'BL2007',
      `submission id "${recorded.submissionId}" was used with different content`,
    );
    return { accepted: false, failure: idInUse };
  }

  /** Checks signature and ownership of the changed sections. A refusal here is not recorded. */
  private authorize({ submission, authority }: SubmissionCommand): Result<void, Failure> {
    const teams = this.teams();
    if (teams === undefined) {
      if (authority === 'cluster') return ok(undefined);
      return err(failure('BL2006', 'the first submission must be signed with a cluster key'));
    }
    const isSignedWith = (secret: string) => this.verify(submission, secret);
    return checkSignature(teams, submission, isSignedWith).andThen((team) =>
      checkOwnership(team, submission),
    );
  }

  private decide(submitted: Submission): SubmissionOutcome {
    const submission = withCurrentSecrets(submitted, this.teams());
    const result = checkBaseVersions(submission, this.version, (name) => this.versionOf(name))
      .andThen(() =>
        checkDocumentAfter(
          submission,
          () => this.contentsAfter(submission),
          this.document(),
          this.retired,
        ),
      )
      .map((document) => this.commitSubmission(submission, document));
    if (result.isErr()) return { accepted: false, failure: result.error };
    return { accepted: true, reply: result.value };
  }

  /** Teams of the accepted document with their secrets; undefined before the first submission. */
  teams(): Teams | undefined {
    if (this.version === 0) return undefined;
    return this.sections.get('teams')?.content as Teams | undefined;
  }

  private versionOf(name: SectionName): number {
    const section = this.sections.get(name);
    return section === undefined || section.content === null ? 0 : section.version;
  }

  /** Contents of the sections after the submission. */
  private contentsAfter(submission: Submission): Map<SectionName, unknown> {
    const changedContents = this.currentContents();
    for (const [name, content] of Object.entries(submission.sections)) {
      if (content === null) changedContents.delete(name);
      else changedContents.set(name, content);
    }
    return changedContents;
  }

  private commitSubmission(submission: Submission, document: SteeringDocument) {
    this.retired.recordChange(this.document(), document);
    this.version += 1;
    const { version } = this;
    for (const name of Object.keys(submission.sections)) {
      this.sections.set(name, { name, version, content: sectionOf(document, name) ?? null });
    }
    this.cachedDocument = document;
    this.accepted = undefined;
    const names = Object.keys(submission.sections);
    const sectionVersions = Object.fromEntries(names.map((name) => [name, this.versionOf(name)]));
    return { submissionId: submission.submissionId, version, sectionVersions };
  }

  private sectionVersions(): Record<SectionName, number> {
    const versions: Record<SectionName, number> = {};
    for (const [name, section] of this.sections) {
      if (section.content !== null) versions[name] = section.version;
    }
    return versions;
  }

  /**
   * Records an outcome for resends. Each replica decides on its own and keeps the outcome in its
   * snapshots, so the detail and fault texts of a refusal must not change between releases:
   * replicas of two releases would record different outcomes of the same submission.
   */
  private recordOutcome(recorded: RecordedOutcome): void {
    this.answers.set(recorded.submissionId, recorded);
    if (this.answers.size <= maxRecordedOutcomes) return;
    const [oldest] = this.answers.keys();
    if (oldest !== undefined) this.answers.delete(oldest);
  }

  /** Returns the outcome of a submission, if it is recorded. */
  findOutcome(submissionId: string): SubmissionOutcome | undefined {
    return this.answers.get(submissionId)?.outcome;
  }

  /** The accepted document; undefined before the first submission. */
  current(): AcceptedDocument | undefined {
    if (this.version === 0) return undefined;
    if (this.accepted === undefined) {
      const document = this.document();
      if (document === undefined) return undefined;
      const { version } = this;
      this.accepted = { version, sectionVersions: this.sectionVersions(), document };
    }
    return this.accepted;
  }

  private document(): SteeringDocument | undefined {
    if (this.version === 0) return undefined;
    this.cachedDocument ??= joinSections(this.currentContents()) as unknown as SteeringDocument;
    return this.cachedDocument;
  }

  /** Contents of the sections that are not removed. */
  private currentContents(): Map<SectionName, unknown> {
    const contents = new Map<SectionName, unknown>();
    for (const [name, { content }] of this.sections) {
      if (content !== null) contents.set(name, content);
    }
    return contents;
  }

  /** Version of the document; 0 before the first submission. */
  currentVersion(): number {
    return this.version;
  }

  /** Sections changed after a version, including removed ones. */
  sectionsSince(version: number): VersionedSection[] {
    return [...this.sections.values()].filter((section) => section.version > version);
  }

  snapshot(): DocumentsSnapshot {
    const sections = [...this.sections.values()];
    const answers = [...this.answers.values()];
    return { version: this.version, sections, answers, retired: this.retired.snapshot() };
  }

  restore({ version, sections, answers, retired }: DocumentsSnapshot): void {
    this.version = version;
    this.sections = new Map(sections.map((section) => [section.name, section]));
    this.answers = new Map(answers.map((answer) => [answer.submissionId, answer]));
    this.retired.restore(retired ?? []);
    this.cachedDocument = undefined;
    this.accepted = undefined;
  }
}
