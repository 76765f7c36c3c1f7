#!/usr/bin/env bash
# Signals that arrive while a process exits after a drain do not change its exit code. Found by the fault soak: a SIGHUP in
# the last milliseconds ended the process by that signal.
set -euo pipefail
node="$DAISYRELAY_BIN/daisyrelay-node/daisyrelay-node"
work=$(mktemp -d)
trap 'status=$?; [ $status -eq 0 ] || cat "$work"/node.log; rm -rf "$work"; exit $status' EXIT
cat >"$work/node.yaml" <<'YAML'
address: "127.93.7.1"
name: "entry-1"
zone: "a"
listen:
  callers: "127.93.7.1:7001"
  health: "127.93.7.1:7002"
peer_port: 7003
metrics_port: 7004
seeds: ["127.93.7.2:7006"]
founding: false
tolerated: 1
grace: 1s
platform_fences: true
platform: "127.93.7.3:7005"
YAML
"$node" --settings "$work/node.yaml" >"$work/node.log" 2>&1 &
pid=$!
until grep -q 'event=node.start' "$work/node.log"; do
    kill -0 "$pid" || exit 1
    sleep 0.02
done
kill -TERM "$pid"
# A process that has exited and was not waited for can still be signalled.
is_running() { grep -qs '^State:[[:space:]]*[^Z]' "/proc/$pid/status"; }
while is_running; do
    for ((count = 0; count < 2000; ++count)); do
        kill -HUP "$pid" 2>/dev/null || break
    done
done
wait "$pid" && code=0 || code=$?
[ "$code" -eq 0 ] || { echo "FAILED: exit code $code"; exit 1; }
