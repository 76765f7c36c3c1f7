#!/usr/bin/env bash
# Two operators send a change of the same version through different VMs: exactly one wins; a change sent again gets its
# first answer; all VMs apply the same configuration, also after the control VMs were killed and started again.
. "$(dirname "$0")/common.sh"
start_ready_system
version() { ctl "$1" config get --output json | sed -n 's/.*"version":\([0-9]*\).*/\1/p'; }
current=$(version 1)
sed 's/20ms/21ms/; s/30ms/31ms/' "$settings" >"$work/one.yaml"
sed 's/20ms/22ms/; s/30ms/32ms/' "$settings" >"$work/two.yaml"
ctl 4 --expect_version "$current" --change_id first config set "$work/one.yaml" >"$work/one.out" 2>&1 &
one=$!
ctl 5 --expect_version "$current" --change_id second config set "$work/two.yaml" >"$work/two.out" 2>&1 &
two=$!
wait "$one" && one=won || one=lost
wait "$two" && two=won || two=lost
[ "$one" != "$two" ] || fail "operators: $one and $two"
winner=first file=one
[ "$one" = won ] || { winner=second file=two; }
again=$(ctl 6 --expect_version "$current" --change_id "$winner" config set "$work/$file.yaml")
[ "$again" = "accepted as version $((current + 1))" ] || fail "the change sent again: $again"

for vm in 1 2 3; do
    kill -9 "${vm_pid[$vm]}"
done
for vm in 1 2 3; do
    start_vm "$vm"
done
for vm in $(seq 1 "$vm_count"); do
    same() { [ "$(version "$vm")" = "$((current + 1))" ]; }
    until_ok 600 same || fail "vm$vm is at version $(version "$vm")"
    ctl "$vm" config get | grep -q "$([ "$file" = one ] && echo '[23]1ms' || echo '[23]2ms')" || fail "vm$vm has another text"
done
again=$(ctl 7 --expect_version "$current" --change_id "$winner" config set "$work/$file.yaml")
[ "$again" = "accepted as version $((current + 1))" ] || fail "the change sent again after the restart: $again"
sed -i 's/21ms/soon/; s/31ms/soon/' "$work/one.yaml"
ctl 1 config set "$work/one.yaml" 2>"$work/err" && fail "an invalid file was accepted"
grep -q 'one.yaml:[0-9]*: p99: must be a duration' "$work/err" || fail "an invalid file: $(cat "$work/err")"
