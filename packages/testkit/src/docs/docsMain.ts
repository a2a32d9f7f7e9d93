import { writeFile } from 'node:fs/promises';

import { generatedPages } from './generatedPages.js';

/** Writes the generated pages of the documentation. */
for (const page of generatedPages) {
  await writeFile(page.path, page.render());
}
