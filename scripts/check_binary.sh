#!/usr/bin/env bash
# Asks one real answer of the built binary.
set -euo pipefail
dist/almondcrank demo --requests 2
