#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are plain JavaScript without
# dependencies and run as they are, so this only checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in lib/*.mjs [0-9]*/*.mjs; do node --check "$file"; done
for file in [0-9]*/run.sh; do bash -n "$file"; done
[ -f ../target/gateway.cjs ] || {
  echo "target/gateway.cjs is missing: run the build of deploy/system.toml first" >&2
  exit 2
}
echo "the stand-ins are ready"
