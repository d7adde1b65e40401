#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../site ] || [ ! -x ../../target/hickorynotch ]; then
	echo "not run: build the deploy file and then review/build.sh"
	exit 2
fi
REPOSITORY=$(cd ../.. && pwd) exec ../site popular record.txt
