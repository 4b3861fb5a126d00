#!/usr/bin/env bash
# Installs the pg driver and runs its tests. Argument: path of the demo binary.
set -euo pipefail
export PAPAYALINE_DEMO=$1
cd "$(dirname "$0")"
[ -d node_modules/pg ] || npm install --no-audit --no-fund >/dev/null
exec node --test pg.test.js
