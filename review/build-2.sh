#!/bin/sh
# Builds the project's stand-ins that the scripts of this review start, into target/.
set -e
cd "$(dirname "$0")/.."
node_modules/.bin/esbuild review/lib-2/system.ts --bundle --platform=node --target=node20 --format=cjs --log-level=warning --outfile=target/review-2/system.cjs
