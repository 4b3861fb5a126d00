#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into target/review. The product
# itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja
ninja -C target/review
