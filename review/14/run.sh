#!/usr/bin/env bash
# DRAIN: a liveness report arrives late, after its worker has left.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
# Needs the build of the deploy file and review/build-3.sh.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in target/release/burdockhall target/review-3/stand; do
    [ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
target/review-3/stand case late-report "${TROUBLE:-1}" "$here/record.txt"
case $? in 0) exit 0 ;; 1) exit 1 ;; *) exit 2 ;; esac
