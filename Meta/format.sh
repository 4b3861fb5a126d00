#!/usr/bin/env bash
# Formats all C++ sources. With --check, reports differences and changes nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files '*.cpp' '*.h')
if [ "${1:-}" = --check ]; then
  clang-format --dry-run --Werror "${files[@]}"
  echo "format: ${#files[@]} files are clean"
else
  clang-format -i "${files[@]}"
fi
