#!/usr/bin/env bash
# Plays commits that wait for a replica against real processes for a short time: eight entries, so that homes hold the
# connections, replicas that leave and run on or receive nothing, and callers that prepare new statements all the time.
set -euo pipefail
work=$(mktemp -d)
trap 'status=$?; [ $status -eq 0 ] || tail -n 15 "$work"/*/*.log; rm -rf "$work"; exit $status' EXIT
"$DAISYRELAY_BIN/daisyrelay-soak/daisyrelay-soak" --node "$DAISYRELAY_BIN/daisyrelay-node/daisyrelay-node" \
    --folder "$work" --seed 1 --seconds 15 --plan receipts
