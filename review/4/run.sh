#!/usr/bin/env bash
# Plays the case on loopback. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves out the disruption.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x review/bin/harness ] || [ ! -x target/baobabd ]; then
	echo "run the build of deploy/system.toml and review/build.sh first"
	exit 2
fi
exec review/bin/harness -case leaving-primary -record review/4/record.txt
