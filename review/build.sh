#!/usr/bin/env bash
# The stand-ins of the cases are plain scripts for Node.js without dependencies (review/harness), so
# there is nothing to compile; this only checks that every script can be parsed.
set -euo pipefail
cd "$(dirname "$0")"
for script in harness/*.js */case.js; do
  [ -e "$script" ] || continue
  node --check "$script"
done
