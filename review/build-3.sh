#!/usr/bin/env bash
# Builds what the scripts of the third review start into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
