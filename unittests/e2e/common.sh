# Sourced by the end-to-end tests: runs a system on loopback and stops the system when the test ends.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
work=$(mktemp -d)
# shellcheck source=../../utils/cluster.sh
. "$root/utils/cluster.sh"
trap 'status=$?; stop_system; [ $status -eq 0 ] || tail -n 15 "$work"/*.log; rm -rf "$work"; exit $status' EXIT
use_users_settings "${1:-carpatica}"

fail() {
    echo "FAILED: $1"
    exit 1
}

# The retry limits only end a test that hangs; the result does not depend on response times.
start_ready_system() {
    start_system
    until_ok 600 ctl 1 config set "$settings" || fail "no configuration was accepted"
    local vm group
    for vm in $(seq 1 "$vm_count"); do
        until_ok 600 curl -sf "http://$(vm_http "$vm")/readyz" || fail "vm$vm is not ready"
    done
    for group in g1 g2 g3; do
        until_ok 600 write_works "$group" || fail "$group accepts no writes"
    done
}

write_works() {
    statement 1 "$write_class" "$1" write "put ready yes" "" "ready-$1-$RANDOM$RANDOM" | grep -q '"result"'
}

primary_of() {
    ctl 1 status --output json | grep -o "\"group\":\"$1\",\"primary\":\"[^\"]*\"" | head -1 | sed 's/.*"\([^"]*\)"$/\1/'
}

load() {
    "$bin/daisyrelay-load/daisyrelay-load" --entries "$(all_entries)" --service "$service" --progress=false \
        --mix "$read_class:read:60,$read_class:read-own:20,$write_class:write:5,$write_class:write-once:15" \
        --deadline_ms 4000 --seconds 120 "$@"
}
