#!/bin/sh
# DRAIN: a daemon confirms a deregistration and forgets it.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/burdockhall ] || [ ! -x target/review/standins ]; then
    echo "build first: cargo build --release --locked && review/build.sh" >&2
    exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
target/review/standins 5 review/5 "$temporary"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
