#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-3 -B target/review-3 -G Ninja \
  -DCMAKE_BUILD_TYPE=Release
ninja -C target/review-3
