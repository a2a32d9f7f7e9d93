#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start beside the build of the deploy file. The stand-ins are plain
# modules of Node.js in harness-2/, which need no build; this checks that all of them parse.
set -euo pipefail
cd "$(dirname "$0")"
for module in harness-2/*.mjs [0-9]*/run.mjs; do
  [ -e "$module" ] || continue
  node --check "$module"
done
