#!/usr/bin/env bash
# Runs clang-tidy on the given files, by default on all sources of the product.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ $# -eq 0 ]; then
  mapfile -t files < <(git ls-files 'Libraries/*.cpp' 'Services/*.cpp' 'Utilities/*.cpp' 'platform/*.cpp')
else
  files=("$@")
fi
printf '%s\0' "${files[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy -p build --quiet
echo "lint: ${#files[@]} files are clean"
