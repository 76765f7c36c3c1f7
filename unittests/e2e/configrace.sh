#!/usr/bin/env bash
# Two operators concurrently change the same version through different VMs: exactly one change is accepted. A repeated
# change gets its first response. All VMs apply the same configuration, also after a crash of all control VMs.
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
[ "$one" != "$two" ] || fail "expected exactly one accepted change: first $one, second $two"
winner=first file=one
[ "$one" = won ] || { winner=second file=two; }
repeated=$(ctl 6 --expect_version "$current" --change_id "$winner" config set "$work/$file.yaml")
[ "$repeated" = "accepted as version $((current + 1))" ] || fail "the repeated change returned: $repeated"

for vm in 1 2 3; do
    kill -9 "${vm_pid[$vm]}"
done
for vm in 1 2 3; do
    start_vm "$vm"
done
for vm in $(seq 1 "$vm_count"); do
    has_new_version() { [ "$(version "$vm")" = "$((current + 1))" ]; }
    until_ok 600 has_new_version || fail "vm$vm is at version $(version "$vm")"
    ctl "$vm" config get | grep -q "$([ "$file" = one ] && echo '[23]1ms' || echo '[23]2ms')" || fail "vm$vm has a different configuration text"
done
repeated=$(ctl 7 --expect_version "$current" --change_id "$winner" config set "$work/$file.yaml")
[ "$repeated" = "accepted as version $((current + 1))" ] || fail "the change repeated after the restart returned: $repeated"
sed -i 's/21ms/soon/; s/31ms/soon/' "$work/one.yaml"
ctl 1 config set "$work/one.yaml" 2>"$work/err" && fail "an invalid file was accepted"
grep -q 'one.yaml:[0-9]*: p99: must be a duration' "$work/err" || fail "unexpected error for an invalid file: $(cat "$work/err")"
