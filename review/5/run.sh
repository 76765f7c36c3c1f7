#!/usr/bin/env bash
# Case 5. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
if [ ! -x target/review/case5 ] || [ ! -x target/daisyrelay-node ]; then
    echo "case 5: run the build of the deploy file and review/build.sh first"
    exit 2
fi
timeout --kill-after=2 117 target/review/case5 "$folder/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
