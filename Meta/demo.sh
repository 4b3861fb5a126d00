#!/usr/bin/env bash
# Builds and runs the whole system on stand-ins. Passes its arguments to the demo.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/build.sh
exec build/Tests/Demo/papayaline-demo "$@"
