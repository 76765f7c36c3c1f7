#!/usr/bin/env bash
# Exits with 1 if an acknowledged commit is missing from the log of the promoted database, 0 if none is, 2 if the case
# could not run. TROUBLE=0 leaves out the disruptions.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case8 ] && [ -x target/daisyrelay-node ] || exit 2
exec timeout --signal=TERM 110 target/review-2/case8 review/8/record.txt
