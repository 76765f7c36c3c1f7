#!/usr/bin/env bash
# Runs the fault soak against real processes with each seed that found a fault before, for a short time each.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
work=$(mktemp -d)
trap 'status=$?; [ $status -eq 0 ] || tail -n 15 "$work"/*/*.log; rm -rf "$work"; exit $status' EXIT
sed -n 's/^seed \([0-9]*\).*/\1/p' "$root/unittests/e2e/soak-seeds.txt" | while read -r seed; do
    "$DAISYRELAY_BIN/daisyrelay-soak/daisyrelay-soak" --node "$DAISYRELAY_BIN/daisyrelay-node/daisyrelay-node" \
        --folder "$work" --seed "$seed" --seconds 15
done
