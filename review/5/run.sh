#!/usr/bin/env bash
# Plays the case once; TROUBLE=0 leaves the disruption out. Exit code 1: broken.
cd "$(dirname "$0")/../.." || exit 2
exec timeout --signal=TERM --kill-after=5 120 node review/5/run.mjs
