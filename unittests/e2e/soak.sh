#!/usr/bin/env bash
# Runs the fault soak against real processes for a short time: once with databases that nobody fences, and with each seed
# that found a fault before.
set -euo pipefail
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
work=$(mktemp -d)
trap 'status=$?; [ $status -eq 0 ] || tail -n 15 "$work"/*/*.log; rm -rf "$work"; exit $status' EXIT
"$DAISYRELAY_BIN/daisyrelay-soak/daisyrelay-soak" --node "$DAISYRELAY_BIN/daisyrelay-node/daisyrelay-node" \
    --folder "$work" --seed 61 --seconds 15 --nofences
sed -n 's/^seed \([0-9]*\).*/\1/p' "$root/unittests/e2e/soak-seeds.txt" | while read -r seed; do
    "$DAISYRELAY_BIN/daisyrelay-soak/daisyrelay-soak" --node "$DAISYRELAY_BIN/daisyrelay-node/daisyrelay-node" \
        --folder "$work" --seed "$seed" --seconds 15
done
