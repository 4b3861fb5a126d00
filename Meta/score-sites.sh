#!/usr/bin/env bash
# Runs the bench's standard days for each regression site. SITES_FOLDER holds the
# site folders and the bench; WHY is recorded in the journal with each run.
#
#   Meta/score-sites.sh KIT/more/system "final code" [--jobs N]
set -euo pipefail
if [ $# -lt 2 ]; then
  echo "usage: Meta/score-sites.sh SITES_FOLDER WHY [--jobs N]" >&2
  exit 2
fi
cd "$(dirname "$0")/.."
folder=$1
why=$2
shift 2
sites=(
  demands/hfl-reykjavik-grown.toml
  demands/rayon-laurentien-grown.toml
  shifted/jingshui-tpe-now-grown.toml
  large/jingshui-tpe-large.toml
  further-grown/ramdin-lights-grown.toml
  further/ramdin-lights.toml
  grown/jingshui-tpe-grown.toml
  grown/sandline-grown.toml
)
bench=$(find "$folder/more" -name fleetbench -type f | sort | tail -n 1)
for site in "${sites[@]}"; do
  "$bench" score "$folder/$site" --why "$why" "$@"
done
