#!/usr/bin/env bash
# Runs all cells of the fault matrix and prints the results as a table.
#
#   Meta/fault-matrix.sh [SEED] [PARALLEL_CELLS]
set -uo pipefail
cd "$(dirname "$0")/.."
seed=${1:-1}
parallel=${2:-2}
matrix=build/Tests/FaultMatrix/fault-matrix
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT
"$matrix" --list | xargs -P "$parallel" -I{} sh -c \
  'out=$("$1" --cell="$2" --seed="$3"); echo "$out" > "$4/$(echo "$2" | tr / _)"; echo "$out"' \
  _ "$matrix" {} "$seed" "$results"
awk '
  { split($2, at, /[\/:]/); step = at[1]; fault = at[2]
    if (!(step in steps)) { steps[step] = 1; order[++n] = step }
    if (!(fault in faults)) { faults[fault] = 1; rows[++m] = fault }
    cell[fault, step] = $1 }
  END {
    printf "\n%-16s", "fault"; for (i = 1; i <= n; i++) printf "%-13s", order[i]; print ""
    for (j = 1; j <= m; j++) { printf "%-16s", rows[j]
      for (i = 1; i <= n; i++) { c = cell[rows[j], order[i]]; printf "%-13s", c == "" ? "not run" : c
        if (c == "pass") p++; else if (c == "FAIL") f++; else r++ }
      print "" }
    printf "%d passed, %d failed, %d skipped\n", p, f, r
    exit f > 0 }
' <(head -qn1 "$results"/*)
