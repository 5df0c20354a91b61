#!/usr/bin/env bash
# Plays the case; exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/play ] && [ -x target/release/tarragon-entryd ] || exit 2
target/review/play young review/5/record.txt
