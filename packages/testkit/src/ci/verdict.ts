/** Verdict of a test run. */
export interface Verdict {
  readonly passed: number;
  /** Titles of failed tests that are not listed as known. */
  readonly failed: readonly string[];
  /** Titles of failed tests that KNOWN-RED.txt lists. */
  readonly knownRed: readonly string[];
  /** Lines about test files whose processes went on after their tests. */
  readonly lingering: readonly string[];
}

const okLine = /^ok \d+ - (.*)$/;
const notOkLine = /^not ok \d+ - (.*)$/;
const passOverDirective = / # (SKIP|TODO)\b/;
const knownTestLine = /^test: (.*)$/;
const lingeringPrefix = 'test file does not exit: ';

/**
 * Builds the line that tells of a test file whose process goes on after its tests.
 *
 * @param file - the test file
 * @param resources - what keeps the process running
 */
export function lingeringLine(file: string, resources: string): string {
  return `${lingeringPrefix}${file} (${resources})`;
}

/**
 * Reads the titles that KNOWN-RED.txt lists in its lines `test: <title>`.
 *
 * @param text - content of the file
 */
export function knownTitles(text: string): string[] {
  const titles: string[] = [];
  for (const line of text.split('\n')) {
    const title = knownTestLine.exec(line)?.[1];
    if (title !== undefined) titles.push(title.trim());
  }
  return titles;
}

function isKnown(title: string, known: readonly string[]): boolean {
  return known.some((entry) => title === entry || title.endsWith(` › ${entry}`));
}

/**
 * Reads the verdict of a run from its output in the Test Anything Protocol. Skipped tests count as
 * neither passed nor failed.
 *
 * @param tap - output of the test runner
 * @param known - titles listed in KNOWN-RED.txt
 * @param errorOutput - error output of the test files
 */
export function readVerdict(tap: string, known: readonly string[], errorOutput = ''): Verdict {
  let passed = 0;
  const failed: string[] = [];
  const knownRed: string[] = [];
  for (const line of tap.split('\n')) {
    if (okLine.test(line) && !passOverDirective.test(line)) passed += 1;
    const title = notOkLine.exec(line)?.[1];
    if (title === undefined) continue;
    if (isKnown(title, known)) knownRed.push(title);
    else failed.push(title);
  }
  const lingering = errorOutput.split('\n').filter((line) => line.startsWith(lingeringPrefix));
  return { passed, failed, knownRed, lingering };
}

/**
 * Tells whether a run may land. Known failures explain a bad exit status only if all test files ended.
 *
 * @param verdict - verdict of the run
 * @param exitStatus - exit status of the test runner
 */
export function mayLand(verdict: Verdict, exitStatus: number): boolean {
  if (verdict.passed === 0 || verdict.failed.length > 0) return false;
  return exitStatus === 0 || (verdict.knownRed.length > 0 && verdict.lingering.length === 0);
}
