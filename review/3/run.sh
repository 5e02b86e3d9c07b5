#!/bin/sh
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the end of the processes out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/carobfield-entry ] && [ -x target/review/release/powerloss ] || exit 2
exec target/review/release/powerloss review/3/record.txt
