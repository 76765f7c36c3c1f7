#!/usr/bin/env bash
# Runs the fault soak through a cut of the availability zone of all primaries, with transactions that stay open across the
# promotions, and the loss of all control VMs after it. New primaries report as their position what the argument says.
set -euo pipefail
work=$(mktemp -d)
trap 'status=$?; [ $status -eq 0 ] || tail -n 15 "$work"/*/*.log; rm -rf "$work"; exit $status' EXIT
"$DAISYRELAY_BIN/daisyrelay-soak/daisyrelay-soak" --node "$DAISYRELAY_BIN/daisyrelay-node/daisyrelay-node" \
    --folder "$work" --seed "$2" --plan outage --positions "$1"
