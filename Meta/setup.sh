#!/usr/bin/env bash
# Installs the packages that the build and the tests need on Debian.
set -euo pipefail
cd "$(dirname "$0")/.."
export DEBIAN_FRONTEND=noninteractive
missing=()
while read -r name; do
  # A tool that is installed in another way needs no package.
  if command -v "$name" >/dev/null 2>&1; then continue; fi
  if [ "$name" = ninja-build ] && command -v ninja >/dev/null 2>&1; then continue; fi
  if [ "$name" = nodejs ] && command -v node >/dev/null 2>&1; then continue; fi
  dpkg -s "$name" >/dev/null 2>&1 || missing+=("$name")
done < Meta/packages.txt
if [ ${#missing[@]} -gt 0 ]; then
  apt-get update
  apt-get install -y --no-install-recommends "${missing[@]}"
fi
