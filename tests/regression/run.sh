#!/usr/bin/env bash
# Plays the regression sites on the users' bench and compares with the figures of the last landing.
#
#   FLEETBENCH=PATH SITES=DIR tests/regression/run.sh [score|seeds|hunt ...]
#
# FLEETBENCH is the bench, SITES the directory of its site files. Without arguments it plays
# the scores. Exits with 1 if a gate failed, a rule was broken, or a day fell by more than 0.03.
set -uo pipefail
cd "$(dirname "$0")/../.."
: "${FLEETBENCH:?the path of the bench}" "${SITES:?the directory of the site files}"
directory=tests/regression
output=$(mktemp)
trap 'rm -f "$output"' EXIT
failed=0

# Prints the lines of a list without comments and empty ones.
entries() { grep -vE '^(#|$)' "$1"; }

score() {
    while read -r site _; do
        "$FLEETBENCH" score "$SITES/$site.toml" --jobs "${JOBS:-3}" --why "regression run" | tee "$output"
        grep -q '^GATE passed' "$output" || failed=1
        awk -v site="$site" '
            NR == FNR { if ($1 == site) before[$2] = $3; next }
            $1 in before && $4 < before[$1] - 0.03 {
                printf "FELL: %s %s from %.3f to %.3f\n", site, $1, before[$1], $4
                fell = 1
            }
            END { exit fell }' <(entries "$directory/figures.txt") "$output" || failed=1
    done < <(entries "$directory/sites.txt")
}

seeds() {
    while read -r site day seed _; do
        "$FLEETBENCH" run "$SITES/$site.toml" "$day" --seed "$seed" --why "regression seed" > "$output"
        if grep -q 'BROKEN' "$output" || ! grep -q '^worth' "$output"; then
            echo "FAILED: $site $day $seed"
            failed=1
        fi
        grep -E "^$day" "$output" || true
    done < <(entries "$directory/seeds.txt")
}

hunt() {
    while read -r site days; do
        "$FLEETBENCH" hunt "$SITES/$site.toml" --days "$days" --jobs "${JOBS:-3}" --why "regression hunt" \
            | tee "$output"
        grep -q ' 0 with a rule broken' "$output" || failed=1
    done < <(entries "$directory/sites.txt")
}

for part in "${@:-score}"; do
    case "$part" in
        score | seeds | hunt) "$part" ;;
        *)
            echo "unknown part: $part (score, seeds or hunt)" >&2
            exit 2
            ;;
    esac
done
exit "$failed"
