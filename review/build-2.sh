#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standins-2 -B build-review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release
ninja -C build-review-2
