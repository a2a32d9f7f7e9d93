export default {
  files: ['packages/*/src/**/*.spec.ts', 'platform/src/**/*.spec.ts'],
  typescript: {
    rewritePaths: {
      'packages/protocol/src/': 'packages/protocol/dist/',
      'packages/core/src/': 'packages/core/dist/',
      'packages/host/src/': 'packages/host/dist/',
      'packages/cli/src/': 'packages/cli/dist/',
      'packages/testkit/src/': 'packages/testkit/dist/',
      'platform/src/': 'platform/dist/',
    },
    compile: false,
  },
  require: ['./packages/testkit/dist/ci/lingeringProcess.js'],
  nodeArguments: ['--enable-source-maps'],
  workerThreads: false,
  concurrency: 4,
  timeout: '3m',
};
