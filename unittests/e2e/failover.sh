#!/usr/bin/env bash
# The primary of a group is killed under load: writes go on with another primary, and no promise breaks.
. "$(dirname "$0")/common.sh"
start_ready_system
before=$(primary_of g1)
load --requests 4000 --sessions 8 --seed 2 >"$work/load.txt" &
run=$!
kill -9 "${db_pid[$((10 + ${before#g1-}))]}"
wait "$run" || { cat "$work/load.txt"; fail "a promise of the load run"; }
cat "$work/load.txt"
until_ok 600 write_works g1 || fail "g1 takes no writes after the failover"
after=$(primary_of g1)
[ "$before" != "$after" ] || fail "the primary is still $before"
