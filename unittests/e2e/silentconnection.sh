#!/usr/bin/env bash
# Connections to a database go silent for good while new ones work: the statements on them end, the database is kept.
. "$(dirname "$0")/common.sh"
start_ready_system
primary=$(primary_of g1)
zone=${primary#g1-}
curl -s -X PUT "http://$(db_host 1 "$zone"):$(db_port 1 "$zone")/faults" -d '{"silence_next":2}' >/dev/null
statement 1 "$write_class" g1 write "add silent 1" "" "silent-1" >"$work/answer"
grep -q '"ran":"unknown"' "$work/answer" || fail "a silent write: $(cat "$work/answer")"
until_ok 600 write_works g1 || fail "g1 takes no writes any more"
load --requests 500 --sessions 4 --seed 4 || fail "a promise of the load run"
