#!/bin/sh
# Run after the build of the deploy file and review/build-3.sh; TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
RECORD_DIR="$here" exec target/review-3/release/spaced-ids
