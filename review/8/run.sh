#!/usr/bin/env bash
# Case 8. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruptions; the planned work stays.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
if [ ! -x target/review-2/case8 ] || [ ! -x target/daisyrelay-node ]; then
    echo "case 8: run the build of the deploy file and review/build-2.sh first"
    exit 2
fi
timeout --kill-after=2 110 target/review-2/case8 "$folder/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
