#!/usr/bin/env bash
# Connections to a database go silent permanently while new connections work: the statements on them are ended and the
# database stays in use.
. "$(dirname "$0")/common.sh"
start_ready_system
primary=$(primary_of g1)
zone=${primary#g1-}
curl -s -X PUT "http://$(db_host 1 "$zone"):$(db_port 1 "$zone")/faults" -d '{"silence_next":2}' >/dev/null
statement 1 "$write_class" g1 write "add silent 1" "" "silent-1" >"$work/response"
grep -q '"ran":"unknown"' "$work/response" || fail "a write on a silent connection returned: $(cat "$work/response")"
until_ok 600 write_works g1 || fail "g1 accepts no writes after the connections went silent"
load --requests 500 --sessions 4 --seed 4 || fail "the load run violated a guarantee"
