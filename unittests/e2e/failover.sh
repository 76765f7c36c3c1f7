#!/usr/bin/env bash
# The primary of a group is killed under load: writes continue on another primary and all guarantees hold.
. "$(dirname "$0")/common.sh"
start_ready_system
before=$(primary_of g1)
load --requests 4000 --sessions 8 --seed 2 >"$work/load.txt" &
run=$!
kill -9 "${db_pid[$((10 + ${before#g1-}))]}"
wait "$run" || { cat "$work/load.txt"; fail "the load run violated a guarantee"; }
cat "$work/load.txt"
until_ok 600 write_works g1 || fail "g1 accepts no writes after the failover"
after=$(primary_of g1)
[ "$before" != "$after" ] || fail "the primary is still $before"
