#!/usr/bin/env bash
# A wrong settings file ends the daemon with file, line and key and a non-zero exit.
. "$(dirname "$0")/common.sh"
write_vm_settings 1
sed -i 's/^peer: .*/peer: nowhere/' "$work/vm1.yaml"
"$bin/daisyrelayd/daisyrelayd" --settings "$work/vm1.yaml" 2>"$work/err" && fail "the daemon started" || code=$?
[ "$code" -eq 2 ] || fail "exit code $code"
grep -q 'vm1.yaml:[0-9]*: peer: must be address:port' "$work/err" || fail "$(cat "$work/err")"
