#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/harness-2 ] && [ -x target/baobabd ] || exit 2
BAOBABD=target/baobabd exec target/harness-2 deposed-owner review/7/record.txt
