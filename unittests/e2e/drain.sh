#!/usr/bin/env bash
# Every VM is shut down and started again under load, one after the other: no request is cut.
. "$(dirname "$0")/common.sh"
start_ready_system
load --requests 6000 --sessions 8 --seed 3 --json "$work/load.json" >"$work/load.txt" &
run=$!
for vm in 7 5 2 1; do
    kill -TERM "${vm_pid[$vm]}"
    wait "${vm_pid[$vm]}" || fail "vm$vm ended with $?"
    start_vm "$vm"
    until_ok 600 curl -sf "http://$(vm_http "$vm")/readyz" || fail "vm$vm is not ready again"
done
wait "$run" || { cat "$work/load.txt"; fail "a promise of the load run"; }
cat "$work/load.txt"
grep -q '"transport_errors":0' "$work/load.json" || fail "requests were cut"
