#!/usr/bin/env bash
# A write through one entry is read through another with the session's token, and a transaction is whole.
. "$(dirname "$0")/common.sh"
start_ready_system

statement 1 "$write_class" g1 write "put core-7 reserved" "" "key-1" >"$work/answer"
grep -q '"result":"reserved"' "$work/answer" || fail "the write"
token=$token_out
for vm in 2 3 4 5 6 7; do
    statement "$vm" "$read_class" g1 read "get core-7" "$token" | grep -q '"result":"reserved"' || fail "read through vm$vm"
done
statement 3 "$read_class" g1 read "get core-7" "${token}x" | grep -q '"kind":"bad-token"' || fail "a forged token is taken"

base="http://$(vm_http 2)/v1/transactions"
id=$(curl -s "$base" -d "{\"service\":\"$service\",\"class\":\"$write_class\",\"group\":\"g2\"}" |
    sed -n 's/.*"transaction":"\([^"]*\)".*/\1/p')
[ -n "$id" ] || fail "begin"
other="http://$(vm_http 6)/v1/transactions/$id"
curl -s "$other/statements" -d '{"kind":"write","statement":"put pair-a 1"}' | grep -q '"result"' || fail "first statement"
curl -s "$other/statements" -d '{"kind":"write","statement":"put pair-b 1"}' | grep -q '"result"' || fail "second statement"
statement 4 "$write_class" g2 read "get pair-a" | grep -q '"result":null' || fail "an open transaction is seen"
first=$(curl -s -X POST "$other/commit")
grep -q '"position"' <<<"$first" || fail "commit: $first"
statement 4 "$write_class" g2 read "get pair-b" | grep -q '"result":"1"' || fail "the committed transaction is not seen"
# A commit that is sent again after a lost answer gets the first one and runs nothing.
again=$(curl -s -X POST "$other/commit")
[ "$again" = "$first" ] || fail "a second commit: $again instead of $first"

load --requests 1500 --sessions 8 || fail "a promise of the load run"
