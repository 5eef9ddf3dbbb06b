#!/bin/sh
# Builds the stand-ins of the second review into target/review-2/, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
