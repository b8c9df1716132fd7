#!/bin/sh
# Builds the stand-ins of review/4 to review/8, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/standins-2.rs
