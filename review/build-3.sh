#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. Needs the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand review/standins-3/main.rs
