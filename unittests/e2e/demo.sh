#!/usr/bin/env bash
# A write through one entry is visible through another with the session's token, and a transaction is atomic.
. "$(dirname "$0")/common.sh"
start_ready_system

statement 1 "$write_class" g1 write "put core-7 reserved" "" "key-1" >"$work/response"
grep -q '"result":"reserved"' "$work/response" || fail "the write failed"
token=$token_out
for vm in 2 3 4 5 6 7; do
    statement "$vm" "$read_class" g1 read "get core-7" "$token" | grep -q '"result":"reserved"' || fail "the read through vm$vm failed"
done
statement 3 "$read_class" g1 read "get core-7" "${token}x" | grep -q '"kind":"bad-token"' || fail "a forged token was accepted"

base="http://$(vm_http 2)/v1/transactions"
id=$(curl -s "$base" -d "{\"service\":\"$service\",\"class\":\"$write_class\",\"group\":\"g2\"}" |
    sed -n 's/.*"transaction":"\([^"]*\)".*/\1/p')
[ -n "$id" ] || fail "the begin failed"
other="http://$(vm_http 6)/v1/transactions/$id"
curl -s "$other/statements" -d '{"kind":"write","statement":"put pair-a 1"}' | grep -q '"result"' || fail "the first statement failed"
curl -s "$other/statements" -d '{"kind":"write","statement":"put pair-b 1"}' | grep -q '"result"' || fail "the second statement failed"
statement 4 "$write_class" g2 read "get pair-a" | grep -q '"result":null' || fail "a write of an open transaction is visible"
first=$(curl -s -X POST "$other/commit")
grep -q '"position"' <<<"$first" || fail "the commit failed: $first"
statement 4 "$write_class" g2 read "get pair-b" | grep -q '"result":"1"' || fail "a write of the committed transaction is not visible"
# A commit repeated after a lost response gets the first response and is not run again.
repeated=$(curl -s -X POST "$other/commit")
[ "$repeated" = "$first" ] || fail "the repeated commit returned $repeated instead of $first"

load --requests 1500 --sessions 8 || fail "the load run violated a guarantee"
