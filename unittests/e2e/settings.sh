#!/usr/bin/env bash
# An invalid settings file makes the daemon exit with code 2 and an error that names file, line and key.
. "$(dirname "$0")/common.sh"
write_vm_settings 1
sed -i 's/^peer: .*/peer: nowhere/' "$work/vm1.yaml"
"$bin/daisyrelayd/daisyrelayd" --settings "$work/vm1.yaml" 2>"$work/err" && fail "the daemon started" || code=$?
[ "$code" -eq 2 ] || fail "exit code $code instead of 2"
grep -q 'vm1.yaml:[0-9]*: peer: must be address:port' "$work/err" || fail "unexpected error: $(cat "$work/err")"
