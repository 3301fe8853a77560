#!/usr/bin/env bash
# Exits with 1 if TWICE was broken, 0 if it held, 2 if the case could not run. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
test -x target/release/burdockhall && test -x target/review-2/standin || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-2/standin long-run review/10
