#!/usr/bin/env bash
# A new database that one instance does not hear of: exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
# partition and the deaf replica out.
cd "$(dirname "$0")/../.." || exit 2
program=target/Services/Papayalined/papayalined
stand_in=target/review-3/unlisted
[ -x "$program" ] && [ -x "$stand_in" ] || exit 2
timeout -s KILL 115 "$stand_in" "$program" review/11/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
