import { readFile, readdir } from 'node:fs/promises';

import { generatedPages } from './generatedPages.js';

/** Checks what no linter sees: generated pages that are out of date, and index files. */
const problems: string[] = [];

for (const page of generatedPages) {
  const committed = await readFile(page.path, 'utf8').catch(() => '');
  if (committed !== page.render()) problems.push(`${page.path} is out of date: run "npm run docs"`);
}

const sources = await readdir('packages', { recursive: true });
for (const path of sources) {
  if (path.includes('node_modules') || path.includes('dist')) continue;
  if (/(^|\/)index\.[jt]s$/.test(path)) problems.push(`packages/${path} is an index file`);
}

for (const problem of problems) console.error(problem);
if (problems.length > 0) process.exitCode = 1;
