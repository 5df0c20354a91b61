#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 with the compiler alone, into target/review-3/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/harness review/standin-3/main.rs
