#!/usr/bin/env bash
# Installs missing packages and builds all targets into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/setup.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo
ninja -C build
