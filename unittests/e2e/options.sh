#!/usr/bin/env bash
# The scripts that take minutes explain themselves, and a misspelt option does not start them.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
for script in check demo; do
    timeout 5 "$root/utils/$script" --help | grep -q "^usage: utils/$script" || { echo "$script: no usage"; exit 1; }
    status=0
    timeout 5 "$root/utils/$script" --no-such-option >/dev/null 2>&1 || status=$?
    [ "$status" -eq 2 ] || { echo "$script: exit status $status for an unknown option"; exit 1; }
done
