#!/usr/bin/env bash
# Builds the stand-ins of all scripts with the compiler alone: they use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/play review/standin/main.rs
