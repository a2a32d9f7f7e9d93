import { renderConfigurationPage } from './configurationPage.js';
import { renderErrorsPage } from './errorsPage.js';

/** A page that is generated from the code. */
export interface GeneratedPage {
  /** Path below the root of the repository. */
  readonly path: string;
  readonly render: () => string;
}

/** All generated pages. */
export const generatedPages: readonly GeneratedPage[] = [
  { path: 'docs/ERRORS.md', render: renderErrorsPage },
  { path: 'docs/CONFIGURATION.md', render: renderConfigurationPage },
];
