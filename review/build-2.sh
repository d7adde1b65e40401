#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: the store, the replicas and the clients, in one program, review/stage/stage.bin. It needs no
# network and no package outside the standard library. The deploy file's build makes target/hickorynotch.
set -euo pipefail
cd "$(dirname "$0")/stage"
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOWORK=off go test -c -o stage.bin .
