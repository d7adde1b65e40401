#!/usr/bin/env bash
# Builds the stand-ins that the scripts in the folders beside it start, into review/.bin/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins"

go test -c -o ../.bin/site .
