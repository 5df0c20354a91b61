#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# the disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/tarragon-entryd target/review-2/review-2; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
exec target/review-2/review-2 late review/10/record.txt
