#!/usr/bin/env bash
# Checks that the built binary runs, with a short demo.
set -euo pipefail
dist/almondcrank demo --requests 2
