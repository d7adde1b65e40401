#!/usr/bin/env bash
# Builds review/site, the program with the stand-ins that all scripts in the folders beside it start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")"

go test -c -o site .
