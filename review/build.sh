#!/bin/sh
# Builds what the scripts of the review start, besides the build of the deploy file: their stand-ins, the project's own included.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --manifest-path review/standin/Cargo.toml --target-dir target/review
