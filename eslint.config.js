import js from '@eslint/js';
import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

/** Modules that give the core a clock, a socket, a file or a process. */
const ioModules = [
  'fs',
  'net',
  'http',
  'https',
  'dgram',
  'timers',
  'child_process',
  'cluster',
  'worker_threads',
].flatMap((name) => [name, `node:${name}`, `node:${name}/promises`]);

export default [
  { ignores: ['**/dist/**', 'node_modules/**', 'docs/reports/**', 'target/**', 'journal/**'] },
  js.configs.recommended,
  plugins.stylistic,
  plugins.importX,
  ...configs.base.recommended,
  plugins.typescriptEslint,
  ...configs.base.typescript,
  prettier,
  {
    rules: {
      'no-restricted-syntax': [
        'error',
        { selector: 'ForInStatement', message: 'Iterate over Object.keys or Object.entries.' },
        { selector: 'WithStatement', message: 'The with statement is not available.' },
        {
          selector: 'ExportAllDeclaration',
          message: 'Import from the module that defines the name.',
        },
      ],
      'no-continue': 'off',
      'no-param-reassign': [
        'error',
        { props: true, ignorePropertyModificationsFor: ['parts', 'state'] },
      ],
      'no-underscore-dangle': ['error', { allow: ['_unsafeUnwrap', '_unsafeUnwrapErr'] }],
      'no-await-in-loop': 'off',
      'no-bitwise': 'off',
      'import-x/prefer-default-export': 'off',
      'import-x/no-default-export': 'off',
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-rename-default': 'off',
      'import-x/no-cycle': 'off',
      'import-x/no-useless-path-segments': 'off',
      'no-console': 'error',
    },
  },
  {
    files: ['packages/core/src/**/*.ts', 'packages/protocol/src/**/*.ts'],
    ignores: ['**/*.spec.ts'],
    rules: {
      'no-restricted-imports': ['error', { paths: ioModules }],
      'no-restricted-globals': [
        'error',
        'setTimeout',
        'setInterval',
        'setImmediate',
        'fetch',
        'process',
      ],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: 'Time comes in as a value.' },
        { object: 'Math', property: 'random', message: 'Randomness comes in as a value.' },
        { object: 'performance', property: 'now', message: 'Time comes in as a value.' },
      ],
    },
  },
  { files: ['packages/**/*Main.ts', 'packages/cli/src/**/*.ts'], rules: { 'no-console': 'off' } },
];
