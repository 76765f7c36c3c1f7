#!/usr/bin/env bash
exec "$(dirname "$0")/../rig-3/run-case" 14
