#!/bin/sh
# Builds the stand-ins and judges of cases 11 to 15.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
