#!/bin/sh
# Builds every stand-in that the scripts of the second review start. Uses the standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
