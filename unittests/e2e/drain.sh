#!/usr/bin/env bash
# VMs are shut down and restarted one by one under load: no request is interrupted.
. "$(dirname "$0")/common.sh"
start_ready_system
load --requests 6000 --sessions 8 --seed 3 --json "$work/load.json" >"$work/load.txt" &
run=$!
for vm in 7 5 2 1; do
    kill -TERM "${vm_pid[$vm]}"
    wait "${vm_pid[$vm]}" || fail "vm$vm exited with code $?"
    start_vm "$vm"
    until_ok 600 curl -sf "http://$(vm_http "$vm")/readyz" || fail "vm$vm is not ready after its restart"
done
wait "$run" || { cat "$work/load.txt"; fail "the load run violated a guarantee"; }
cat "$work/load.txt"
grep -q '"transport_errors":0' "$work/load.json" || fail "requests were interrupted"
