#!/usr/bin/env bash
# Installs the driver and runs its tests; argument: the demo's binary.
set -euo pipefail
export PAPAYALINE_DEMO=$1
cd "$(dirname "$0")"
[ -d node_modules/pg ] || npm install --no-audit --no-fund >/dev/null
exec node --test pg.test.js
