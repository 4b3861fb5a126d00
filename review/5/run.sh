#!/usr/bin/env bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. The instances end with the driver.
cd "$(dirname "$0")" || exit 2
rm -f log-*.txt record.txt
timeout --signal=KILL 115 ../../target/review/case-drain
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
